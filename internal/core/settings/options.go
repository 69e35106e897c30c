package settings

import (
	"strings"
	"time"

	"hillreel/internal/policy/order"
	"hillreel/internal/policy/placement"
)

// Settings are all options of all roles.
type Settings struct {
	Node     Node     `ini:"node"`
	Log      Log      `ini:"log"`
	Entry    Entry    `ini:"entry"`
	Agent    Agent    `ini:"agent"`
	Jobs     Jobs     `ini:"jobs"`
	Links    Links    `ini:"links"`
	Policy   Policy   `ini:"policy"`
	Platform Platform `ini:"platform"`
	Upstream Upstream `ini:"standin_upstream"`
	Standin  Standin  `ini:"standin_platform"`
}

// Node says who and where this process is.
type Node struct {
	Name   string  `ini:"name" default:"node" doc:"Name of this VM's process, as in the platform's list of VMs."`
	Zone   string  `ini:"zone" default:"zone-1" doc:"Availability zone."`
	Region string  `ini:"region" default:"region-1" doc:"Region: the availability zones that share entries and agents."`
	Link   Address `ini:"link" default:"127.0.0.1:7400" doc:"Address on which other hillreel processes reach this one."`
	Ops    Address `ini:"operators" default:"127.0.0.1:7500" doc:"Address of the operators' port: metrics, health, configuration."`
}

// Log says what is logged.
type Log struct {
	Level string `ini:"level" default:"info" doc:"Least level that is logged: debug, info, warning or error."`
}

// Entry holds an entry's options.
type Entry struct {
	Callers        Address       `ini:"callers" default:"127.0.0.1:7600" doc:"Address of the callers' HTTP API."`
	MaxBody        Bytes         `ini:"max_body" default:"8mb" min:"1kb" max:"64mb" doc:"Largest body of a request."`
	MaxTasks       int           `ini:"max_tasks" default:"1500" min:"1" max:"100000" doc:"Most tasks of one job."`
	ReadTimeout    time.Duration `ini:"read_timeout" default:"10s" min:"100ms" max:"5m" doc:"Longest time in which a caller sends its whole request."`
	HeaderTimeout  time.Duration `ini:"header_timeout" default:"3s" min:"100ms" max:"1m" doc:"Longest time in which a caller sends its request's headers."`
	MaxConnections int           `ini:"max_connections" default:"10000" min:"1" max:"1000000" doc:"Most connections of callers at once; more wait unaccepted."`
	QueueLimit     int           `ini:"queue_limit" default:"20000" min:"1" max:"10000000" doc:"Most tasks that wait for an agent; a job that would pass it is refused as not_run."`
	AnswerBytes    Bytes         `ini:"answer_bytes" default:"256mb" min:"1mb" max:"16384mb" doc:"Most bytes of answers kept for ended jobs; the oldest go first, their verdicts stay."`
	OperatorToken  Secret        `ini:"operator_token" default:"" doc:"Bearer token of the operators' port with all rights. Without any token only health is served there. Secret."`
	OperatorTokens Secrets       `ini:"operator_tokens" default:"" doc:"More tokens, separated by commas, each name/role/token; the role is read, all, or team=NAME (change that team's limits). Secret."`
}

// Agent holds an agent's options.
type Agent struct {
	Upstream       string        `ini:"upstream" default:"" doc:"Address of the upstream's HTTP server, an IP number with a port."`
	Services       []string      `ini:"services" default:"publish,canteen" doc:"Services that the upstream serves, separated by commas."`
	Slots          int           `ini:"slots" default:"8" min:"1" max:"10000" doc:"Tasks that run at once on the upstream."`
	Connections    int           `ini:"connections" default:"64" min:"1" max:"10000" doc:"Most connections to the upstream."`
	QueueLimit     int           `ini:"queue_limit" default:"16" min:"0" max:"100000" doc:"Accepted tasks that may wait for a slot; more are refused as not_run."`
	TaskTimeout    time.Duration `ini:"task_timeout" default:"30s" min:"10ms" max:"1h" doc:"Longest run of one task; then it may_have_run."`
	ConnectTimeout time.Duration `ini:"connect_timeout" default:"1s" min:"1ms" max:"1m" doc:"Longest wait for a connection to the upstream; then the task is not_run."`
	AnswerLimit    Bytes         `ini:"answer_limit" default:"1mb" min:"1kb" max:"64mb" doc:"Largest answer of one task."`
	AnswerBytes    Bytes         `ini:"answer_bytes" default:"8mb" min:"64kb" max:"1024mb" doc:"Most bytes of answers kept for entries that ask again."`
	AnswerGrace    time.Duration `ini:"answer_grace" default:"1m" min:"1s" max:"1h" doc:"How long an acknowledged answer is kept for an adopter."`
}

// Jobs holds the options that all entries and agents of a region must share.
type Jobs struct {
	MACKeys    Secrets       `ini:"mac_keys" default:"" doc:"Keys that authenticate job ids, separated by commas, at least 16 characters each: the first signs, all are accepted. Secret."`
	Retention  time.Duration `ini:"retention" default:"10m" min:"1s" max:"24h" doc:"How long a job id is valid and its job remembered, from the id's minting."`
	MaxRoster  int           `ini:"max_roster" default:"64" min:"1" max:"10000" doc:"About how many agents may run the tasks of one job; an adopter must reach all of them."`
	AnswerWait time.Duration `ini:"answer_wait" default:"2s" min:"10ms" max:"1m" doc:"How long a caller waits for a job that can't be settled now, before it hears unresolved."`
}

// Links holds the options of the links between processes.
type Links struct {
	DialTimeout  time.Duration `ini:"dial_timeout" default:"1s" min:"10ms" max:"1m" doc:"Longest wait for a connection to another process."`
	RedialEvery  time.Duration `ini:"redial_every" default:"100ms" min:"1ms" max:"1m" doc:"Pause between attempts to connect."`
	SuspectAfter time.Duration `ini:"suspect_after" default:"1s" min:"10ms" max:"1m" doc:"How long a link may be down before its agent is left out of new rosters."`
	GoneAfter    time.Duration `ini:"gone_after" default:"5s" min:"20ms" max:"10m" doc:"How long a link may be down before its process counts as gone. Safety does not rest on it."`
	Tick         time.Duration `ini:"tick" default:"20ms" min:"1ms" max:"1s" doc:"How often control state looks at the time."`
}

// Policy holds how an entry decides. docs/MEASUREMENTS.md has the figures behind the defaults.
type Policy struct {
	Placement    string        `ini:"placement" default:"least_loaded" doc:"Which agent gets a task: random, two_choices or least_loaded."`
	Order        string        `ini:"order" default:"slack" doc:"Which job's tasks are placed first: first_come, least_work, deadline or slack."`
	Ageing       float64       `ini:"ageing" default:"4" doc:"With least_work, a second of waiting counts as much as so many seconds of remaining work."`
	LongestFirst bool          `ini:"longest_first" default:"true" doc:"Place a job's tasks in order of their expected run times."`
	Learn        bool          `ini:"learn" default:"true" doc:"Learn run times per kind of task instead of trusting what is declared."`
	MaxWait      time.Duration `ini:"max_wait" default:"5s" min:"10ms" max:"10m" doc:"Longest wait of a job for its team's share of the slots; one that would wait longer is refused at once as not_run, with Retry-After."`
	Prefetch     int           `ini:"prefetch" default:"0" min:"0" max:"1000" doc:"Tasks beyond its slots that an entry gives an agent."`
	Guard        bool          `ini:"guard" default:"true" doc:"Keep work away from upstreams that fail everything or are slow."`
}

// Platform says where the platform's services are.
type Platform struct {
	Address   Address       `ini:"address" default:"127.0.0.1:7300" doc:"Address of the platform's table and list of VMs."`
	Timeout   time.Duration `ini:"timeout" default:"2s" min:"10ms" max:"1m" doc:"Longest wait for one answer of the platform."`
	ListEvery time.Duration `ini:"list_every" default:"1s" min:"10ms" max:"1m" doc:"How often the list of VMs is read."`
	HeadEvery time.Duration `ini:"head_every" default:"1s" min:"10ms" max:"1m" doc:"How often an entry reads the head row of the configuration."`
}

// Upstream holds the options of the stand-in for an upstream.
type Upstream struct {
	Listen Address       `ini:"listen" default:"127.0.0.1:7700" doc:"Address of the stand-in's HTTP server."`
	Least  time.Duration `ini:"least" default:"50ms" min:"0s" max:"1h" doc:"Least run time, for tasks whose payload names none."`
	Most   time.Duration `ini:"most" default:"1s" min:"0s" max:"1h" doc:"Longest run time, for tasks whose payload names none."`
	Seed   int           `ini:"seed" default:"1" doc:"Seed of the run times."`
}

// Standin holds the options of the stand-in for the platform.
type Standin struct {
	Listen Address       `ini:"listen" default:"127.0.0.1:7300" doc:"Address of the stand-in's HTTP server."`
	Lag    time.Duration `ini:"list_lag" default:"1s" min:"0s" max:"10m" doc:"How far the list of VMs lags behind."`
	VMs    []string      `ini:"vms" default:"" doc:"VMs listed from the start, separated by commas: name/role/address/zone/region, role entry or agent."`
}

const minKeyLength = 16

// conflicts finds combinations that can't work.
func (s *Settings) conflicts(file string) []*Error {
	var out []*Error
	add := func(section, key, reason string) { out = append(out, &Error{file, section, key, reason}) }
	if s.Links.GoneAfter <= s.Links.SuspectAfter {
		add("links", "gone_after", "must be longer than suspect_after")
	}
	if s.Jobs.Retention <= 2*s.Links.GoneAfter {
		add("jobs", "retention", "must be longer than twice links.gone_after, or no job could be adopted")
	}
	if s.Upstream.Most < s.Upstream.Least {
		add("standin_upstream", "most", "must not be shorter than least")
	}
	for _, k := range s.Jobs.MACKeys {
		if len(k) < minKeyLength {
			add("jobs", "mac_keys", "a key is shorter than 16 characters")
		}
	}
	if s.Agent.Upstream != "" && checkAddress(s.Agent.Upstream) != "" {
		add("agent", "upstream", checkAddress(s.Agent.Upstream))
	}
	for _, t := range s.Entry.OperatorTokens {
		if strings.Count(string(t), "/") != 2 {
			add("entry", "operator_tokens", "want name/role/token")
		}
	}
	if placement.New(placement.Name(s.Policy.Placement), 0) == nil {
		add("policy", "placement", "no such policy")
	}
	if order.New(order.Name(s.Policy.Order), s.Policy.Ageing) == nil {
		add("policy", "order", "no such policy")
	}
	if s.Policy.Ageing < 0 {
		add("policy", "ageing", "must not be negative")
	}
	switch s.Log.Level {
	case "debug", "info", "warning", "error":
	default:
		add("log", "level", "want debug, info, warning or error")
	}
	if int64(s.Agent.AnswerLimit) > int64(s.Agent.AnswerBytes) {
		add("agent", "answer_limit", "must not be larger than answer_bytes")
	}
	return out
}

// Keys returns the keys of job ids as bytes.
func (j Jobs) Keys() [][]byte {
	out := make([][]byte, len(j.MACKeys))
	for i, k := range j.MACKeys {
		out[i] = []byte(k)
	}
	return out
}
