// Package schedule holds the randomised run that proves the start protocol: the real control state of
// entries and agents, over links that break, with processes that die, pause, drain and are replaced, and
// callers that submit again elsewhere. Its tests are its only content.
package schedule
