package settings

import (
	"fmt"
	"time"

	"hillreel/internal/core/fleet"
)

// Settings are all options of all roles.
type Settings struct {
	Node     Node     `ini:"node"`
	Log      Log      `ini:"log"`
	Entry    Entry    `ini:"entry"`
	Agent    Agent    `ini:"agent"`
	Links    Links    `ini:"links"`
	Kept     Kept     `ini:"kept"`
	Platform Platform `ini:"platform"`
	Upstream Upstream `ini:"standin_upstream"`
	Standin  Standin  `ini:"standin_platform"`
}

// Node says who and where this process is.
type Node struct {
	Name      string   `ini:"name" default:"node" doc:"Name of this VM's process."`
	Zone      string   `ini:"zone" default:"zone-1" doc:"Availability zone."`
	Region    string   `ini:"region" default:"region-1" doc:"Region: the availability zones that share entries and agents."`
	Link      Address  `ini:"link" default:"127.0.0.1:7400" doc:"Address on which an entry accepts the agents' links. All entries of a region use the same port."`
	Advertise Address  `ini:"advertise" default:"" doc:"Address under which agents reach link, if it is another one."`
	Seeds     []string `ini:"seeds" default:"" doc:"Addresses of up to a few entries, separated by commas; only their IP numbers count. They may be stale: the store lists all entries."`
	Metrics   Address  `ini:"metrics" default:"127.0.0.1:7500" doc:"Address of metrics, health and, with a token, the operators' API."`
}

// Log says what is logged.
type Log struct {
	Level string `ini:"level" default:"info" doc:"Least level that is logged: debug, info, warning or error."`
	Rate  int    `ini:"rate" default:"1000" min:"1" max:"1000000" doc:"Most lines a second, over a few seconds; more are dropped and counted."`
}

// Entry holds an entry's options.
type Entry struct {
	Callers        Address       `ini:"callers" default:"" doc:"Address of the callers' own HTTP API; empty serves none."`
	Front          Address       `ini:"front" default:"" doc:"Address for requests of the platform's clients; empty serves none."`
	Readiness      Address       `ini:"readiness" default:"" doc:"Address for the platform's readiness checks; empty serves none."`
	MaxBody        Bytes         `ini:"max_body" default:"8mb" min:"1kb" max:"64mb" doc:"Largest body of a request."`
	MaxTasks       int           `ini:"max_tasks" default:"1500" min:"1" max:"100000" doc:"Most tasks of one job."`
	ReadTimeout    time.Duration `ini:"read_timeout" default:"10s" min:"100ms" max:"5m" doc:"Longest time in which a caller sends its whole request."`
	HeaderTimeout  time.Duration `ini:"header_timeout" default:"3s" min:"100ms" max:"1m" doc:"Longest time in which a caller sends its request's headers."`
	IdleTimeout    time.Duration `ini:"idle_timeout" default:"60s" min:"1s" max:"1h" doc:"How long a caller's connection may be idle."`
	MaxConnections int           `ini:"max_connections" default:"3000" min:"1" max:"1000000" doc:"Most connections of callers at once; more wait unaccepted."`
	QueueLimit     int           `ini:"queue_limit" default:"2000" min:"1" max:"10000000" doc:"Most jobs that wait for room; more are refused as not_run."`
	Grace          time.Duration `ini:"grace" default:"6s" min:"100ms" max:"10m" doc:"How long the process may take to leave."`
	Unready        time.Duration `ini:"unready" default:"2500ms" min:"0s" max:"1m" doc:"How long a leaving entry still takes requests, until the balancer has noticed: two checks a second apart, and some more."`
	OperatorToken  Secret        `ini:"operator_token" default:"" doc:"Bearer token of the operators' API with all rights. Without any token it is not served. Secret."`
	OperatorTokens Secrets       `ini:"operator_tokens" default:"" doc:"More tokens, separated by commas, each name/role/token; the role is read or all. Secret."`
}

// Agent holds an agent's options.
type Agent struct {
	Upstream    Address       `ini:"upstream" default:"" doc:"Address of the upstream, an IP number with a port."`
	Service     string        `ini:"service" default:"" doc:"Service of the upstream; heartbeats of another one are refused. Empty takes any."`
	Control     Address       `ini:"control" default:"127.0.0.1:7600" doc:"Address on which the upstream's heartbeats arrive."`
	Connections int           `ini:"connections" default:"4" min:"1" max:"10000" doc:"Most connections for orders to the upstream; a start takes under a millisecond."`
	CallTimeout time.Duration `ini:"call_timeout" default:"150ms" min:"1ms" max:"1m" doc:"Longest wait for the answer to an order; then it is unknown whether it was carried out. The agent waits less where answers are usually quick."`
	Grace       time.Duration `ini:"grace" default:"6s" min:"100ms" max:"10m" doc:"How long the process may take to leave."`
}

// Links holds the options of the links between entries and agents. All processes of a region must share silence,
// lease and stop_budget: entries work out from them when a lost agent's runs have surely ended.
type Links struct {
	Entries     int           `ini:"entries" default:"12" min:"1" max:"10000" doc:"To how many entries an agent links when there are more: room is told to each, and each agent is heard by each. With 12, an entry of a region with 30 entries and 270 agents knows 108 agents."`
	DialTimeout time.Duration `ini:"dial_timeout" default:"100ms" min:"10ms" max:"1m" doc:"Longest wait for a connection to another process: a VM without power says nothing, and is tried again."`
	RedialEvery time.Duration `ini:"redial_every" default:"40ms" min:"1ms" max:"1m" doc:"Pause between attempts to connect."`
	Silence     time.Duration `ini:"silence" default:"400ms" min:"10ms" max:"1m" doc:"How long an agent keeps the runs of an entry that it does not hear; five eighths of it is how long a silent link is kept: runs go on if another stands by then."`
	Lease       time.Duration `ini:"lease" default:"400ms" min:"10ms" max:"1m" doc:"How long an upstream keeps its runs without hearing from its agent. At most the platform's hold_max_ms."`
	StopBudget  time.Duration `ini:"stop_budget" default:"200ms" min:"10ms" max:"1m" doc:"How long an agent tries to stop a lost entry's run before it lets all leases lapse: two tries."`
	KeepAlive   time.Duration `ini:"keep_alive" default:"100ms" min:"1ms" max:"1m" doc:"Longest pause between two messages on a link."`
	Tick        time.Duration `ini:"tick" default:"20ms" min:"1ms" max:"1s" doc:"How often control state looks at the time."`
}

// Quiet is how long a silent link is kept. Messages come each keep_alive and a tick: with the defaults, 250 ms bear a tenth of
// a second in which the other side stood still, as under a quota of processor time, and leave 150 ms to dial anew before runs are
// given up.
func (l Links) LinkTimeout() time.Duration { return l.Silence * linkTimeoutEighths / 8 }

// quietEighths is the share of silence after which a silent link is given up.
const linkTimeoutEighths = 5

// Timing returns the times that entries and agents share.
func (l Links) Timing() fleet.Timing {
	return fleet.Timing{Silence: l.Silence, Lease: l.Lease, StopBudget: l.StopBudget, KeepAlive: l.KeepAlive}
}

// Kept holds the options of jobs that outlive all processes.
type Kept struct {
	Lease      time.Duration `ini:"lease" default:"4s" min:"500ms" max:"10m" doc:"How long an entry's lease on its kept jobs lasts. A lost entry that does not return is waited for as long, and meanwhile upstreams remember the ends of its runs, 500 at the most: ten seconds of a busy one's."`
	Renew      time.Duration `ini:"renew" default:"500ms" min:"50ms" max:"1m" doc:"Pause between two renewals of the lease: two calls of the store each."`
	Keep       time.Duration `ini:"keep" default:"120s" min:"1s" max:"24h" doc:"How long the state of a job that has ended can be asked for."`
	Writes     float64       `ini:"writes" default:"800" doc:"Transactions a second that the store takes of all entries together."`
	PartWrites float64       `ini:"part_writes" default:"200" doc:"Transactions a second that one part of the store takes. With writes, it decides over how many parts jobs are spread: neither may change while jobs are kept."`
	MaxRow     Bytes         `ini:"max_row" default:"48kb" min:"1kb" max:"1mb" doc:"Largest row: three fourths of the platform's row_bytes, since values are sent in base64."`
}

// Parts is over how many parts of the store kept jobs are spread: as many as the store's rate keeps busy, but for one whose
// share is left to leases, members and objects.
func (k *Kept) Parts() int { return max(1, int(k.Writes/k.PartWrites)-1) }

// Platform says where the platform's services are.
type Platform struct {
	Store      Address       `ini:"store" default:"127.0.0.1:7300" doc:"Address of the platform's store."`
	Timeout    time.Duration `ini:"timeout" default:"1s" min:"10ms" max:"1m" doc:"Longest wait for one answer of the store: 60 times its usual 4 ms is borne."`
	ConfigWait time.Duration `ini:"config_wait" default:"700ms" min:"10ms" max:"30s" doc:"How long one call waits for a change of the configuration. With timeout, it bounds how long a silent store goes unnoticed."`
	ListWait   time.Duration `ini:"list_wait" default:"25s" min:"10ms" max:"30s" doc:"How long one call waits for a change of the list of entries. Entries tell their agents of each other, so that a store that falls silent meanwhile does no harm."`
}

// Upstream holds the options of the stand-in for an upstream.
type Upstream struct {
	Listen  Address       `ini:"listen" default:"127.0.0.1:7700" doc:"Address of the stand-in's HTTP server."`
	Agent   Address       `ini:"agent" default:"127.0.0.1:7600" doc:"Address to which it sends its heartbeats."`
	Service string        `ini:"service" default:"publish" doc:"Service that it serves."`
	Cores   int           `ini:"cores" default:"16" min:"1" max:"10000" doc:"Its cores."`
	Beat    time.Duration `ini:"beat" default:"500ms" min:"10ms" max:"1m" doc:"Pause between two heartbeats."`
}

// Standin holds the options of the stand-in for the platform's store.
type Standin struct {
	Listen Address `ini:"listen" default:"127.0.0.1:7300" doc:"Address of the stand-in's HTTP server."`
}

// LeaveReserve is what an entry needs of its grace beside the time in which it still takes requests: to give last answers,
// to hand jobs over, and to take its row out of the store.
const LeaveReserve = 700 * time.Millisecond

// conflicts finds combinations that can't work.
func (s *Settings) findConflicts(file string) []*Error {
	var out []*Error
	add := func(section, key, reason string) { out = append(out, &Error{file, section, key, reason}) }
	if s.Links.Silence <= 2*s.Links.KeepAlive {
		add("links", "silence", "must be longer than twice keep_alive")
	}
	if s.Links.Lease <= 2*s.Links.KeepAlive {
		add("links", "lease", "must be longer than twice keep_alive")
	}
	if s.Kept.Lease <= 3*s.Kept.Renew {
		add("kept", "lease", "must be longer than three times renew")
	}
	if s.Kept.Writes <= 0 {
		add("kept", "writes", "must be above 0")
	}
	if s.Kept.PartWrites <= 0 {
		add("kept", "part_writes", "must be above 0")
	}
	if s.Entry.Grace < s.Entry.Unready+LeaveReserve {
		add("entry", "unready", fmt.Sprintf("must be shorter than grace by %v", LeaveReserve))
	}
	for _, seed := range s.Node.Seeds {
		if reason := checkAddress(seed); reason != "" {
			add("node", "seeds", reason)
		}
	}
	for _, t := range s.Entry.OperatorTokens {
		if len(splitToken(string(t))) != tokenParts {
			add("entry", "operator_tokens", "want name/role/token")
		}
	}
	switch s.Log.Level {
	case "debug", "info", "warning", "error":
	default:
		add("log", "level", "want debug, info, warning or error")
	}
	return out
}
