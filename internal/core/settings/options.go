package settings

import (
	"fmt"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
)

// Settings holds the options of all roles.
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

// Node identifies a process and its place in the platform.
type Node struct {
	Name      string   `ini:"name" default:"node" doc:"Name of this VM's process."`
	Zone      string   `ini:"zone" default:"zone-1" doc:"Availability zone."`
	Region    string   `ini:"region" default:"region-1" doc:"Region: the availability zones that share entries and agents."`
	Link      Address  `ini:"link" default:"127.0.0.1:7400" doc:"Address on which an entry accepts links from agents, and queries about jobs from other entries. All entries of a region use the same port."`
	Advertise Address  `ini:"advertise" default:"" doc:"Address under which agents and other entries reach link, if it differs from link."`
	Seeds     []string `ini:"seeds" default:"" doc:"Addresses of a few entries, separated by commas; only their IP addresses are used. They may be out of date: the store lists all entries."`
	Metrics   Address  `ini:"metrics" default:"127.0.0.1:7500" doc:"Address that serves metrics, health and, with a token, the operators' API."`
}

// AdvertisedLink returns the address at which other processes find an entry.
func (n *Node) AdvertisedLink() ident.Address {
	if n.Advertise != "" {
		return ident.Address(n.Advertise)
	}
	return ident.Address(n.Link)
}

// Log controls logging.
type Log struct {
	Level string `ini:"level" default:"info" doc:"Lowest level that is logged: debug, info, warning or error."`
	Rate  int    `ini:"rate" default:"1000" min:"1" max:"1000000" doc:"Highest number of lines per second, averaged over a few seconds; lines above it are dropped and counted."`
}

// Entry holds the options of an entry.
type Entry struct {
	Callers        Address       `ini:"callers" default:"" doc:"Address of the HTTP API for callers; if empty, it is not served."`
	Front          Address       `ini:"front" default:"" doc:"Address for requests of the platform's clients; if empty, they are not served."`
	Readiness      Address       `ini:"readiness" default:"" doc:"Address for the platform's readiness checks; if empty, they are not served."`
	MaxBody        Bytes         `ini:"max_body" default:"8mb" min:"1kb" max:"64mb" doc:"Largest body of a request."`
	MaxTasks       int           `ini:"max_tasks" default:"1500" min:"1" max:"100000" doc:"Highest number of tasks in one job."`
	ReadTimeout    time.Duration `ini:"read_timeout" default:"10s" min:"100ms" max:"5m" doc:"Longest time that a caller may take to send its whole request."`
	HeaderTimeout  time.Duration `ini:"header_timeout" default:"3s" min:"100ms" max:"1m" doc:"Longest time that a caller may take to send the headers of its request."`
	IdleTimeout    time.Duration `ini:"idle_timeout" default:"60s" min:"1s" max:"1h" doc:"How long a caller's connection may be idle."`
	MaxConnections int           `ini:"max_connections" default:"3000" min:"1" max:"1000000" doc:"Highest number of open connections of callers; further ones wait until they are accepted."`
	QueueLimit     int           `ini:"queue_limit" default:"2000" min:"1" max:"10000000" doc:"Highest number of jobs that wait for room; further ones are refused as not_run."`
	Grace          time.Duration `ini:"grace" default:"6s" min:"100ms" max:"10m" doc:"How long the process may take to leave."`
	Unready        time.Duration `ini:"unready" default:"2500ms" min:"0s" max:"1m" doc:"How long a leaving entry still accepts requests, so that the load balancer can notice: two checks one second apart, and a margin."`
	ClaimFrom      int           `ini:"claim_from" default:"0" min:"0" max:"10000" doc:"Number of entries in the region from which on an entry claims room for jobs that wait, so that agents offer room in one order to all entries; 0 is never."`
	RemoteFactor   float64       `ini:"remote_factor" default:"1.5" min:"1" max:"100" doc:"How many times as long a task takes on an upstream away from its data as near it."`
	RestoreTime    time.Duration `ini:"restore_time" default:"1s" min:"0s" max:"1m" doc:"Longest time that an upstream needs to restore a task's checkpoint before the task makes progress."`
	OperatorToken  Secret        `ini:"operator_token" default:"" doc:"Bearer token for the operators' API, with all rights. Without any token, the API is not served. Secret."`
	OperatorTokens Secrets       `ini:"operator_tokens" default:"" doc:"Further tokens, separated by commas, each as name/role/token; the role is read or all. Secret."`
}

// Agent holds the options of an agent.
type Agent struct {
	Upstream    Address       `ini:"upstream" default:"" doc:"Address of the upstream, an IP address with a port."`
	Service     string        `ini:"service" default:"" doc:"Service of the upstream; heartbeats of another service are refused. If empty, any service is accepted."`
	Control     Address       `ini:"control" default:"127.0.0.1:7600" doc:"Address on which the upstream's heartbeats arrive."`
	Connections int           `ini:"connections" default:"4" min:"1" max:"10000" doc:"Highest number of connections for orders to the upstream; a start takes less than a millisecond."`
	CallTimeout time.Duration `ini:"call_timeout" default:"150ms" min:"1ms" max:"1m" doc:"Longest wait for the answer to an order; after that, it is unknown whether the order was carried out. The agent waits less if answers are usually quick."`
	RestoreTime time.Duration `ini:"restore_time" default:"1s" min:"0s" max:"1m" doc:"Longest time that the upstream needs to restore a task's checkpoint before the task makes progress."`
	Grace       time.Duration `ini:"grace" default:"6s" min:"100ms" max:"10m" doc:"How long the process may take to leave."`
}

// Links holds the options of the links between entries and agents. Silence, Lease and StopBudget must be the same in all processes of a
// region: entries compute from them when all runs of a lost agent have certainly ended.
type Links struct {
	Entries     int           `ini:"entries" default:"12" min:"1" max:"10000" doc:"Number of entries to which an agent links if there are more: it sends its room to each of them and hears keep-alives from each. With 12, an entry in a region of 30 entries and 270 agents is linked to 108 agents."`
	DialTimeout time.Duration `ini:"dial_timeout" default:"100ms" min:"10ms" max:"1m" doc:"Longest wait for a connection to another process. A VM without power does not answer and is tried again."`
	RedialEvery time.Duration `ini:"redial_every" default:"40ms" min:"1ms" max:"1m" doc:"Pause between attempts to connect."`
	Silence     time.Duration `ini:"silence" default:"400ms" min:"10ms" max:"1m" doc:"How long an agent keeps the runs of an entry that it does not hear. A silent link is closed after five eighths of this time; runs continue if a new link is up before the rest has passed."`
	Lease       time.Duration `ini:"lease" default:"400ms" min:"10ms" max:"1m" doc:"How long an upstream keeps its runs without hearing from its agent. It must not exceed the platform's hold_max_ms."`
	StopBudget  time.Duration `ini:"stop_budget" default:"200ms" min:"10ms" max:"1m" doc:"How long an agent tries to stop a lost entry's run before it lets all leases lapse; enough for two attempts."`
	KeepAlive   time.Duration `ini:"keep_alive" default:"100ms" min:"1ms" max:"1m" doc:"Longest pause between two messages on a link."`
	Tick        time.Duration `ini:"tick" default:"20ms" min:"1ms" max:"1s" doc:"Interval at which the control state checks what is due."`
}

// LinkTimeout returns how long a silent link is kept. Messages arrive at intervals of keep_alive plus a tick. With the defaults, 250 ms
// tolerate a pause of 100 ms of the remote process, as under a CPU quota, and leave 150 ms for dialling again before runs are given up.
func (l Links) LinkTimeout() time.Duration { return l.Silence * linkTimeoutEighths / 8 }

// linkTimeoutEighths is the share of Silence, in eighths, after which a silent link is closed.
const linkTimeoutEighths = 5

// Timing returns the times that entries and agents must share.
func (l Links) Timing() fleet.Timing {
	return fleet.Timing{Silence: l.Silence, Lease: l.Lease, StopBudget: l.StopBudget, KeepAlive: l.KeepAlive}
}

// Kept holds the options of kept jobs, which outlive all processes.
type Kept struct {
	Lease        time.Duration `ini:"lease" default:"4s" min:"500ms" max:"10m" doc:"How long an entry's lease on its kept jobs lasts. If a lost entry does not return within that time, its jobs are taken over. Until then, upstreams keep the ends of its runs, at most 500 of them: ten seconds' worth on a busy upstream."`
	Renew        time.Duration `ini:"renew" default:"500ms" min:"50ms" max:"1m" doc:"Pause between two renewals of the lease. Each renewal takes two calls to the store."`
	CancelWithin time.Duration `ini:"cancel_within" default:"3s" min:"500ms" max:"10m" doc:"Longest time for which tasks of a job may start after its cancellation was confirmed. While the job's owner does not reply, the confirmation waits until the owner's lease can't last longer than that."`
	Keep         time.Duration `ini:"keep" default:"120s" min:"1s" max:"24h" doc:"How long the state of a job can be queried after the job has ended."`
	LateWrites   time.Duration `ini:"late_writes" default:"30s" min:"0s" max:"10m" doc:"For how long the store may still carry out a write that got no answer, after its sender has ended. While such a write may store a job, the job is not refused for good (503) but answered with 504."`
	Writes       float64       `ini:"writes" default:"800" doc:"Transactions per second that the store accepts from all entries together."`
	PartWrites   float64       `ini:"part_writes" default:"200" doc:"Transactions per second that one part of the store accepts. Together with writes, it determines over how many parts jobs are spread, so neither may be changed while jobs are kept."`
	MaxRow       Bytes         `ini:"max_row" default:"48kb" min:"1kb" max:"1mb" doc:"Largest row: three quarters of the platform's row_bytes, because values are sent in base64."`
}

// Parts returns the number of parts of the store over which kept jobs are spread. It is the number of parts that the store's rate can
// keep busy, less one whose share is reserved for leases, members and objects.
func (k *Kept) Parts() int { return max(1, int(k.Writes/k.PartWrites)-1) }

// Platform holds the options of the platform's store.
type Platform struct {
	Store      Address       `ini:"store" default:"127.0.0.1:7300" doc:"Address of the platform's store."`
	Timeout    time.Duration `ini:"timeout" default:"1s" min:"10ms" max:"1m" doc:"Longest wait for one answer of the store. Answers usually take 4 ms; the default tolerates 60 times as much."`
	ConfigWait time.Duration `ini:"config_wait" default:"700ms" min:"10ms" max:"30s" doc:"How long one call waits for a change of the configuration. Together with timeout, it bounds how long a silent store goes unnoticed."`
	ListWait   time.Duration `ini:"list_wait" default:"25s" min:"10ms" max:"30s" doc:"How long one call waits for a change of the list of entries. A store that falls silent in that time does no harm, because entries tell their agents about each other."`
}

// Upstream holds the options of the stand-in for an upstream.
type Upstream struct {
	Listen  Address       `ini:"listen" default:"127.0.0.1:7700" doc:"Address of the stand-in's HTTP server."`
	Agent   Address       `ini:"agent" default:"127.0.0.1:7600" doc:"Address to which the stand-in sends its heartbeats."`
	Service string        `ini:"service" default:"publish" doc:"Service of the stand-in."`
	Cores   int           `ini:"cores" default:"16" min:"1" max:"10000" doc:"Number of cores of the stand-in."`
	Beat    time.Duration `ini:"beat" default:"500ms" min:"10ms" max:"1m" doc:"Pause between two heartbeats."`
}

// Standin holds the options of the stand-in for the platform's store.
type Standin struct {
	Listen Address `ini:"listen" default:"127.0.0.1:7300" doc:"Address of the stand-in's HTTP server."`
}

// LeaveReserve is the part of an entry's grace that remains after the time in which it still accepts requests. The entry needs it to send
// its last answers, to hand over jobs, and to remove its row from the store.
const LeaveReserve = 700 * time.Millisecond

// findConflicts returns an Error for each combination of options that can't work.
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
