package record

import "github.com/sirupsen/logrus"

// LoggedValue encodes a row's value. All types of this package can be encoded; if one can't, the log says so.
func EncodeLogged(log *logrus.Entry, v any) []byte {
	raw, err := Encode(v)
	if err != nil {
		log.WithField("error", err.Error()).Error("job_row_not_encoded")
	}
	return raw
}

// LogUnreadable logs why a row can't be decoded; nil is no reason.
func LogUnreadable(log *logrus.Entry, err error) {
	if err != nil {
		log.WithField("error", err.Error()).Error("job_row_unreadable")
	}
}
