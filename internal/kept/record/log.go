package record

import "github.com/sirupsen/logrus"

// EncodeLogged encodes a row's value. All types of this package can be encoded; an error is logged, not returned.
func EncodeLogged(log *logrus.Entry, v any) []byte {
	raw, err := Encode(v)
	if err != nil {
		log.WithField("error", err.Error()).Error("job_row_not_encoded")
	}
	return raw
}

// LogUnreadable logs the error of a row that can't be decoded. It does nothing if err is nil.
func LogUnreadable(log *logrus.Entry, err error) {
	if err != nil {
		log.WithField("error", err.Error()).Error("job_row_unreadable")
	}
}
