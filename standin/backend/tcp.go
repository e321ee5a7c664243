package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"knapweedshore.example/standin/fabric/host"
)

// Status codes of the line protocol. The first line of a response has the status
// and the length of the body in bytes.
const (
	StatusOK       = "200"
	StatusLoadShed = "503"
)

// listenTCP serves the line protocol in workers until the returned function is
// called.
func (s *Server) listenTCP(workers *conc.WaitGroup) (func(), error) {
	listener, err := s.host.ListenTCP(s.options.Endpoint.Port(), func() bool { return !s.full() })
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	workers.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.connectionOpened()
			workers.Go(func() { s.serveTCP(ctx, c) })
		}
	})
	return func() {
		cancel()
		_ = listener.Close()
	}, nil
}

// serveTCP answers requests until the caller half-closes, and then closes the
// connection. It resets the connection on an error.
func (s *Server) serveTCP(ctx context.Context, c *host.TCPConn) {
	defer s.connectionClosed()
	stop := context.AfterFunc(ctx, c.Reset)
	defer stop()
	lines := bufio.NewReader(c)
	for {
		line, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			break
		}
		if err == nil {
			err = s.answerLine(ctx, line, c)
		}
		if err != nil {
			c.Reset()
			return
		}
	}
	_ = c.Close()
	_ = c.WaitClosed() // the caller reports errors
}

// answerLine executes the request in a line and writes the response.
func (s *Server) answerLine(ctx context.Context, line string, w io.Writer) error {
	r, err := ParseLine(line)
	if err != nil {
		return err
	}
	err = s.respond(ctx, r, func(length int64) io.Writer {
		_, _ = fmt.Fprintf(w, "%s %d\n", StatusOK, length) // the write of the body reports the error
		return w
	})
	if errors.Is(err, ErrLoadShed) {
		_, err = fmt.Fprintf(w, "%s 0\n", StatusLoadShed)
	}
	return err
}
