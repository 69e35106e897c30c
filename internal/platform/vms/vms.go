// Package vms reads the platform's list of live and leaving VMs. The list lags; nothing that must be safe
// rests on it.
package vms

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"hillreel/internal/core/bus"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/poll"
)

// Role is what runs on a VM.
type Role string

// The roles.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// State is a VM's state by the platform.
type State string

// The states.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one line of the list.
type VM struct {
	Name    string        `json:"name"`
	Role    Role          `json:"role"`
	Address ident.Address `json:"address"`
	Zone    ident.Zone    `json:"zone"`
	Region  ident.Region  `json:"region"`
	State   State         `json:"state"`
}

// List is the whole list.
type List struct {
	VMs []VM `json:"vms"`
}

// Reader reads the list again and again and publishes it on the bus.
type Reader struct {
	*poll.Poller
	url    string
	client *http.Client
	bus    *bus.Bus
}

// New returns a Reader of the platform at address.
func New(address ident.Address, every, timeout time.Duration, b *bus.Bus, log *logrus.Entry) *Reader {
	r := &Reader{url: "http://" + string(address) + "/v1/vms", client: &http.Client{Timeout: timeout}, bus: b}
	r.Poller = poll.New("vm_list", every, r.publish, log)
	return r
}

func (r *Reader) publish(ctx context.Context) error {
	list, err := r.read(ctx)
	if err != nil {
		return err
	}
	return r.bus.Publish(bus.Members, list)
}

func (r *Reader) read(ctx context.Context) (List, error) {
	var list List
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url, nil)
	if err != nil {
		return list, errors.Wrap(err, "vm list")
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return list, errors.Wrap(err, "vm list")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return list, errors.Errorf("vm list: status %d", resp.StatusCode)
	}
	return list, errors.Wrap(json.NewDecoder(resp.Body).Decode(&list), "vm list")
}
