package measure

import (
	"encoding/json"

	"hillreel/api"
)

// owns tells whether a task's answer carries the note that was sent with its job.
func owns(t *api.TaskAnswer, note string) bool {
	var got struct {
		Note string `json:"note"`
	}
	if json.Unmarshal(t.Answer, &got) != nil {
		return false
	}
	return got.Note == note
}
