package plog

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// Handler serves a log over HTTP.
func Handler(l *Log) http.Handler {
	return schema.NewPlatformLogServer(&server{l})
}

type server struct {
	log *Log
}

// Append implements schema.PlatformLog.
func (s *server) Append(ctx context.Context, req *schema.AppendRequest) (*schema.AppendReply, error) {
	offset, err := s.log.Append(ctx, req.GetData())
	if errors.Is(err, port.ErrLogRejected) {
		return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &schema.AppendReply{Offset: offset}, nil
}

// Read implements schema.PlatformLog.
func (s *server) Read(ctx context.Context, req *schema.ReadRequest) (*schema.ReadReply, error) {
	wait := time.Duration(req.GetWaitMs()) * time.Millisecond
	entries, next, err := s.log.Read(ctx, req.GetFrom(), int(req.GetMost()), wait)
	if errors.Is(err, port.ErrDeleted) {
		return &schema.ReadReply{Deleted: true, Oldest: next}, nil
	}
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	reply := &schema.ReadReply{Next: next}
	for _, e := range entries {
		reply.Entries = append(reply.Entries, &schema.LogEntry{Offset: e.Offset, Data: e.Data})
	}
	return reply, nil
}

// Control implements schema.PlatformLog.
func (s *server) Control(_ context.Context, req *schema.LogControl) (*schema.LogControlReply, error) {
	s.log.Set(Faults{
		Down: req.GetDown(), LoseReplies: int(req.GetLoseAnswers()),
		Delay: time.Duration(req.GetDelayMs()) * time.Millisecond, Retain: int(req.GetRetain()),
	})
	appends, bytes := s.log.Appends()
	return &schema.LogControlReply{Appends: appends, Bytes: bytes}, nil
}

// Client is a client of a log that Handler serves. Create it with NewClient.
type Client struct {
	log schema.PlatformLog
}

// NewClient returns a client of the log at addr.
func NewClient(addr netip.AddrPort, client schema.HTTPClient) *Client {
	return &Client{schema.NewPlatformLogProtobufClient("http://"+addr.String(), client)}
}

// Append implements port.Log.
func (c *Client) Append(ctx context.Context, data []byte) (uint64, error) {
	reply, err := c.log.Append(ctx, &schema.AppendRequest{Data: data})
	if twerr := twirp.Error(nil); errors.As(err, &twerr) && twerr.Code() == twirp.InvalidArgument {
		err = errors.Join(port.ErrLogRejected, err)
	}
	return reply.GetOffset(), err
}

// Read implements port.Log.
func (c *Client) Read(ctx context.Context, from uint64, limit int, wait time.Duration) ([]port.Entry, uint64, error) {
	reply, err := c.log.Read(ctx, &schema.ReadRequest{From: from, Most: uint32(limit), WaitMs: wait.Milliseconds()})
	if err != nil {
		return nil, from, err
	}
	if reply.GetDeleted() {
		return nil, reply.GetOldest(), port.ErrDeleted
	}
	entries := make([]port.Entry, 0, len(reply.GetEntries()))
	for _, e := range reply.GetEntries() {
		entries = append(entries, port.Entry{Offset: e.GetOffset(), Data: e.GetData()})
	}
	return entries, reply.GetNext(), nil
}
