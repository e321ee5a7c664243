package backend

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Operation is the kind of a request.
type Operation string

// Operations that all servers support.
const (
	// File returns the first bytes of a file.
	File Operation = "file"
	// Check is a short request without side effects.
	Check Operation = "check"
	// Confirm is a short request that must be executed at most once.
	Confirm Operation = "confirm"
)

// Request is a request in either protocol.
type Request struct {
	Operation Operation
	// ID identifies a check or a confirmation; for a file it is the seed of the
	// content.
	ID string
	// Size is the number of bytes of a file to return.
	Size int64
}

// Line returns the request in the line protocol.
func (r Request) Line() string { return fmt.Sprintf("%s %s %d\n", r.Operation, r.ID, r.Size) }

// ParseLine parses a request in the line protocol, as returned by Line.
func ParseLine(line string) (Request, error) {
	fields := strings.Fields(line)
	if len(fields) != 3 {
		return Request{}, errors.Errorf("parse request %q: want 3 fields", line)
	}
	size, err := strconv.ParseInt(fields[2], 10, 64)
	if err != nil {
		return Request{}, errors.Wrapf(err, "parse request %q", line)
	}
	r := Request{Operation: Operation(fields[0]), ID: fields[1], Size: size}
	return r, r.check()
}

func (r Request) check() error {
	switch r.Operation {
	case File, Check, Confirm:
		return nil
	}
	return errors.Errorf("unknown operation %q", r.Operation)
}

// Costs are the times for which requests occupy a slot of a server of speed 1.
type Costs struct {
	Check, Confirm time.Duration
	// Chunk is the time for each ChunkSize (64 KiB) of a file.
	Chunk time.Duration
}

// DefaultCosts saturate a server of speed 1 and DefaultSlots at about 400 checks
// a second.
var DefaultCosts = Costs{Check: 5 * time.Millisecond, Confirm: 8 * time.Millisecond, Chunk: 10 * time.Millisecond}

// Answer returns the response body of a check or a confirmation: the request's
// operation and ID, followed by the name of the server.
func Answer(r Request, server string) string {
	return fmt.Sprintf("%s %s by %s\n", r.Operation, r.ID, server)
}

// respond executes a request. It calls startBody once with the length of the
// body, after the first slot time and before it writes any of the body. It does
// not call startBody if the request is not executed.
func (s *Server) respond(ctx context.Context, r Request, startBody func(length int64) io.Writer) error {
	s.requests.Add(1)
	if err := s.processor.admit(); err != nil {
		s.shed.Add(1)
		return err
	}
	if r.Operation == File {
		return s.sendFile(ctx, r, startBody)
	}
	cost, execute := s.options.Costs.Check, func() {}
	if r.Operation == Confirm {
		cost, execute = s.options.Costs.Confirm, func() { s.options.Executions.Add(r.ID) }
	}
	if err := s.processor.run(ctx, cost, execute); err != nil {
		return err
	}
	answer := Answer(r, s.options.Name)
	if _, err := io.WriteString(startBody(int64(len(answer))), answer); err != nil {
		return errors.Wrap(err, "write response")
	}
	return nil
}

// sendFile occupies a slot anew for each chunk, so that concurrent transfers share
// the slots.
func (s *Server) sendFile(ctx context.Context, r Request, startBody func(length int64) io.Writer) error {
	content := NewContent(r.ID)
	var body io.Writer
	for left := r.Size; left > 0 || body == nil; left -= ChunkSize {
		if err := s.processor.run(ctx, s.options.Costs.Chunk, func() {}); err != nil {
			return err
		}
		if body == nil {
			body = startBody(r.Size)
		}
		if _, err := io.CopyN(body, content, min(left, ChunkSize)); err != nil {
			return errors.Wrap(err, "write response")
		}
	}
	return nil
}
