package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/filbertrill/filbertrill/test/standin/faults"
	"github.com/filbertrill/filbertrill/test/standin/runs"
)

// streamAnswer sends the events of a run starting at the offset from.
func (e *Engine) streamAnswer(w http.ResponseWriter, r *http.Request, run *run, from int, fault faults.Fault) {
	e.blockIfSilent(r, fault)
	if fault.Mode == faults.LoseAnswer {
		e.waitForToken(r, run, run.answerTokens)
		faults.Abort()
	}
	writer := eventWriter{w: w, run: run, fault: fault}
	writer.writeHeader()
	for offset := from; offset < run.eventCount(); offset++ {
		if fault.Mode == faults.CloseMidStream && offset-from >= fault.AfterTokens {
			faults.Abort()
		}
		current, ok := e.waitForToken(r, run, min(offset, run.answerTokens))
		if !ok {
			return
		}
		if offset >= current.generated && current.outcome != runs.Finished {
			faults.Abort()
		}
		if err := writer.writeEvent(offset); err != nil {
			return
		}
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// eventWriter writes the events of a run to one connection.
type eventWriter struct {
	w           http.ResponseWriter
	run         *run
	fault       faults.Fault
	foreignSent bool // the event with the foreign id was sent
}

func (ew *eventWriter) writeHeader() {
	ew.w.Header().Set("Content-Type", "text/event-stream")
	ew.w.Header().Set("Cache-Control", "no-cache")
	ew.w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(ew.w).Flush()
}

// writeEvent writes the event at the offset and the extra events of the fault.
func (ew *eventWriter) writeEvent(offset int) error {
	if ew.fault.ForeignID != "" && !ew.foreignSent {
		ew.foreignSent = true
		if err := ew.writeChunk(ew.fault.ForeignID, offset); err != nil {
			return err
		}
	}
	if err := ew.writeChunk(ew.run.id, offset); err != nil {
		return err
	}
	if ew.fault.DuplicateEvents {
		return ew.writeChunk(ew.run.id, offset)
	}
	return nil
}

// writeChunk writes and flushes one server-sent event with the request id and offset.
func (ew *eventWriter) writeChunk(id string, offset int) error {
	chunk := ew.run.event(offset)
	chunk.ID = "chatcmpl-" + id
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(ew.w, "id: %s:%d\ndata: %s\n\n", id, offset, data); err != nil {
		return err
	}
	return http.NewResponseController(ew.w).Flush()
}
