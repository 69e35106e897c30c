// Package kernel manages the services of a process: they register under a name, find each other by name, start in the order of
// registration, and stop in the reverse order.
package kernel

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Service is a part of a process that can be started and stopped.
type Service interface {
	// Start returns nil once the service is ready, or an error if it can't start.
	Start(ctx context.Context) error
	// Stop returns once the service has ended.
	Stop()
}

// Kernel holds the services of one process.
type Kernel struct {
	log *logrus.Entry

	mu       sync.Mutex
	names    []string
	services map[string]Service
	running  []string
}

// New returns a Kernel without services that logs to log.
func New(log *logrus.Entry) *Kernel {
	return &Kernel{log: log, services: make(map[string]Service)}
}

// Register adds a service. It returns an error if the name is already in use.
func (k *Kernel) Register(name string, s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.services[name] != nil {
		return errors.Errorf("kernel: service %q is registered already", name)
	}
	k.names = append(k.names, name)
	k.services[name] = s
	return nil
}

// Find returns the service registered under name as a T, usually an interface that the caller declares. It returns an error if there is
// no such service or it is not a T.
func Find[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, errors.Errorf("kernel: no service %q", name)
	}
	found, ok := s.(T)
	if !ok {
		return zero, errors.Errorf("kernel: service %q is a %T, which does not fit", name, s)
	}
	return found, nil
}

// Start starts all services in order. If one fails, it stops those that were started and returns the error.
func (k *Kernel) Start(ctx context.Context) error {
	for _, name := range k.names {
		if err := k.services[name].Start(ctx); err != nil {
			k.log.WithFields(logrus.Fields{"service": name, "error": err.Error()}).Error("service_failed")
			k.Stop()
			return errors.Wrapf(err, "service %s", name)
		}
		k.running = append(k.running, name)
		k.log.WithField("service", name).Debug("service_started")
	}
	return nil
}

// Stop stops the running services in the reverse order of their start.
func (k *Kernel) Stop() {
	for i := len(k.running) - 1; i >= 0; i-- {
		k.services[k.running[i]].Stop()
		k.log.WithField("service", k.running[i]).Debug("service_stopped")
	}
	k.running = nil
}
