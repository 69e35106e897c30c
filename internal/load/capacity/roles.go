package capacity

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// The size to design for, and what follows from it for one region.
const (
	regions        = 3
	workers        = 2100
	startsPerSec   = 180_000
	changesPerDay  = 1300
	vmsPerDay      = 156
	retentionSec   = 600
	daySec         = 86_400
	regionAgents   = workers / regions
	regionStarts   = startsPerSec / regions
	objects        = workers + 120 + 200 // upstreams, teams, and the rest
	idleKeepAlive  = 2 * 2 * (12 + 40)   // bytes a second and link: yamux ping and answer each way, with IP and TCP
	entries        = 8                   // two in each availability zone of a region
	entryCores     = 2
	nodeCPU        = 0.021
	nodeMemory     = 32 << 20
	nodeBytes      = 16 << 10
	configReadRate = 1.0 // head reads a second and entry
)

// line is one line of the page's table.
type line struct {
	role, what, how string
	value           float64
	unit            string
	// bound is zero where there is none.
	bound float64
}

// Roles works each role's needs out from the slopes.
func Roles(w io.Writer, slopes []Slope) error {
	_, err := fmt.Fprintln(w, "| role | what | worked out as | value | bound | |\n| --- | --- | --- | --- | --- | --- |")
	for _, l := range lines(slopes) {
		if err != nil {
			break
		}
		bound, ok := "", ""
		if l.bound > 0 {
			bound, ok = fmt.Sprintf("%.4g", l.bound), "holds"
			if l.value > l.bound {
				ok = "**broken**"
			}
		}
		_, err = fmt.Fprintf(w, "| %s | %s | %s | %.4g %s | %s | %s |\n", l.role, l.what, l.how, l.value, l.unit, bound, ok)
	}
	return errors.Wrap(err, "capacity")
}

func lines(slopes []Slope) []line {
	per, base := make(map[string]float64), make(map[string]float64)
	for _, s := range slopes {
		per[s.Name], base[s.Name] = s.PerUnit, s.Base
	}
	entryTask := base["entry_time_by_agents"] + regionAgents*per["entry_time_by_agents"] + per["message_time"]
	agentStarts := float64(regionStarts) / regionAgents
	agentTask := per["agent_time"] + per["message_time"]
	taskBytes := base["task_bytes"] + 128*per["task_bytes"]
	return []line{
		{"entry", "processor time a task", "`entry_time_by_agents` at 700 agents + `message_time` (its halves of start and result); HTTP is not in", entryTask / 1000, "us", 0},
		{"entry", "processor time at the peak", "60,000 starts/s over 8 entries × that, bound: 60% of 2 cores", entryTask * float64(regionStarts) / entries / 1e9, "cores", 0.6 * entryCores},
		{"entry", "memory of links", "700 × half of `link_memory`", regionAgents * per["link_memory"] / 2 / (1 << 20), "MB", 0},
		{"entry", "processor time of idle links", "700 × half of `link_idle`", regionAgents * per["link_idle"] / 2 / 1e9, "cores", 0},
		{"entry", "memory of ended jobs", "`entry_memory` × its starts / 10 × retention; bound: 1 GB of a thin VM", per["entry_memory"] * float64(regionStarts) / entries / tasksPerJob * retentionSec / (1 << 20), "MB", 1024},
		{"agent", "processor time of control at the peak", "86 starts/s × (`agent_time` + `message_time`) + links to all entries × half of `link_idle`", agentStarts*agentTask/1e9 + entries*per["link_idle"]/2/1e9, "cores", nodeCPU},
		{"agent", "memory of started tasks", "86 starts/s × retention × `agent_memory`", agentStarts * retentionSec * per["agent_memory"], "B", nodeMemory},
		{"agent", "memory of links", "entries × half of `link_memory`", entries * per["link_memory"] / 2, "B", nodeMemory},
		{"agent", "memory of configuration", "2,420 objects × 3 × `snapshot_bytes`, as Go values", objects * 3 * per["snapshot_bytes"], "B", nodeMemory},
		{"agent", "bytes a second of control in tasks", "86 starts/s × `task_bytes` without payload and answer", agentStarts * base["task_bytes"], "B/s", nodeBytes},
		{"agent", "bytes a second of tasks in all", "86 starts/s × `task_bytes` with 128 B of payload and answer", agentStarts * taskBytes, "B/s", 0},
		{"agent", "bytes a second of keep-alive", "entries × 208 B", entries * idleKeepAlive, "B/s", nodeBytes},
		{"agent", "bytes a second of rosters", "entries × `roster_bytes` at 64 agents, each 150 s", entries * 64 * per["roster_bytes"] / (retentionSec / 4), "B/s", nodeBytes},
		{"agent", "bytes a second of configuration", "1,300 deltas a day of about 400 B from up to all entries", changesPerDay * 400 * entries / daySec, "B/s", nodeBytes},
		{"agent", "processor time of configuration", "1,300 a day × `delta_time` at 2,420 objects", changesPerDay * objects * per["delta_time"] / 1e9 / daySec, "cores", nodeCPU},
		{"agent", "time to apply a burst of 100 changes", "100 × `delta_time` at 2,420 objects", 100 * objects * per["delta_time"] / 1e9, "s", 5},
		{"adopter", "sealing one job", "64 agents × (`seal_time` + 2 × `message_time`)", 64 * (per["seal_time"] + 2*per["message_time"]) / 1e6, "ms", 0},
		{"region", "sealing after an entry is lost", "its jobs in hand (starts / 10 × 1 s), on the other entries", float64(regionStarts) / entries / tasksPerJob * 64 * (per["seal_time"] + 2*per["message_time"]) / 1e9 / (entries - 1) / entryCores, "s", 0},
		{"store", "reads a second", "entries of all regions × (head and list of VMs each second)", 2 * configReadRate * entries * regions, "reads/s", 2000},
		{"store", "writes a second", "1,300 changes a day, one transaction of 4 rows each", changesPerDay / float64(daySec), "writes/s", 300},
		{"region", "new rosters a day", "156 VMs a day over 3 regions, twice each", 2 * vmsPerDay / regions, "", 0},
	}
}

// markers stand around what Into replaces.
const (
	beginMark = "<!-- measured: make capacity -->"
	endMark   = "<!-- end of measured -->"
)

// Into replaces the measured part of a page.
func Into(file string, slopes []Slope) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "capacity")
	}
	before, rest, found := strings.Cut(string(raw), beginMark)
	_, after, closed := strings.Cut(rest, endMark)
	if !found || !closed {
		return errors.Errorf("capacity: %s has no %q and %q", file, beginMark, endMark)
	}
	var out bytes.Buffer
	out.WriteString(before + beginMark + "\n\n## Slopes\n\n")
	if err := Print(&out, slopes); err != nil {
		return err
	}
	out.WriteString("\n## Roles at that size\n\n")
	if err := Roles(&out, slopes); err != nil {
		return err
	}
	out.WriteString("\n" + endMark + after)
	return errors.Wrap(os.WriteFile(file, out.Bytes(), 0o644), "capacity")
}
