package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/filbertrill/filbertrill/test/standin/faults"
	"github.com/filbertrill/filbertrill/test/standin/runs"
)

// stream sends the events of a run from an offset on.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, run *run, from int, fault faults.Fault) {
	e.hold(r, fault)
	if fault.Mode == faults.LoseAnswer {
		e.wait(r, run, run.limit)
		faults.Abort()
	}
	sender := sender{w: w, run: run, fault: fault}
	sender.begin()
	for offset := from; offset < run.events(); offset++ {
		if fault.Mode == faults.CloseMidStream && offset-from >= fault.AfterTokens {
			faults.Abort()
		}
		now, ok := e.wait(r, run, min(offset, run.limit))
		if !ok {
			return
		}
		if offset >= now.tokens && now.outcome != runs.Finished {
			faults.Abort()
		}
		if err := sender.send(offset); err != nil {
			return
		}
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// sender writes the events of one connection.
type sender struct {
	w       http.ResponseWriter
	run     *run
	fault   faults.Fault
	foreign bool // the event under a foreign id is sent
}

func (s *sender) begin() {
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(s.w).Flush()
}

// send writes the event at the offset with the copies that the fault asks for.
func (s *sender) send(offset int) error {
	if s.fault.ForeignID != "" && !s.foreign {
		s.foreign = true
		if err := s.write(s.fault.ForeignID, offset); err != nil {
			return err
		}
	}
	if err := s.write(s.run.id, offset); err != nil {
		return err
	}
	if s.fault.DuplicateEvents {
		return s.write(s.run.id, offset)
	}
	return nil
}

func (s *sender) write(id string, offset int) error {
	chunk := s.run.event(offset)
	chunk.ID = "chatcmpl-" + id
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(s.w, "id: %s:%d\ndata: %s\n\n", id, offset, data); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}
