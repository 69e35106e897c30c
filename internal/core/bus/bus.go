// Package bus carries control events, such as changes of membership and configuration, between the services of one process. It uses
// watermill's Go channels. Task traffic does not go through the bus; docs/DESIGN.md gives the cost that it would have there.
package bus

import (
	"context"
	"encoding/json"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Topic is the name of a kind of event.
type Topic string

// The topics, with the contents of their events.
const (
	// Entries carries the list of all entries each time the list in the store has changed.
	Entries Topic = "entries"
)

// backlog is how many events may be queued for a slow subscriber.
const backlog = 64

// Bus is the event bus of one process.
type Bus struct{ channel *gochannel.GoChannel }

// New returns an empty Bus.
func New() *Bus {
	// Events would overtake each other if Publish did not wait for the acknowledgement.
	config := gochannel.Config{OutputChannelBuffer: backlog, BlockPublishUntilSubscriberAck: true}
	return &Bus{gochannel.NewGoChannel(config, watermill.NopLogger{})}
}

// Publish sends event, encoded as JSON, to all subscribers of topic.
func (b *Bus) Publish(topic Topic, event any) error {
	payload, err := json.Marshal(event)
	if err != nil {
		return errors.Wrapf(err, "bus: encode %s", topic)
	}
	return errors.Wrap(b.channel.Publish(string(topic), message.NewMessage(watermill.NewUUID(), payload)), "bus")
}

// Subscribe calls handle for each event of topic, one at a time, until ctx ends. Events that can't be decoded are logged and skipped.
func Subscribe[T any](ctx context.Context, b *Bus, topic Topic, handle func(T)) error {
	messages, err := b.channel.Subscribe(ctx, string(topic))
	if err != nil {
		return errors.Wrapf(err, "bus: subscribe %s", topic)
	}
	go func() {
		for m := range messages {
			var event T
			if err := json.Unmarshal(m.Payload, &event); err != nil {
				logrus.WithFields(logrus.Fields{"topic": topic, "error": err.Error()}).Error("bus_event_unreadable")
			} else {
				handle(event)
			}
			m.Ack()
		}
	}()
	return nil
}

// Close ends all subscriptions.
func (b *Bus) Close() error { return b.channel.Close() }
