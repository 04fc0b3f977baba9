package logstore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/filbertrill/filbertrill/test/standin/faults"
)

const (
	binaryContentType = "application/vnd.kafka.binary.v2+json"

	codeBadRequest     = 42201
	codeNoPartition    = 40402
	codeOffsetExpired  = 40403
	codeTooManyAppends = 42901
	codeUnavailable    = 50301
	maxBodyBytes       = 16 << 20
	defaultReadCount   = 100
	maxRecordsPerRead  = 10000
)

// Server serves the log with the Kafka REST Proxy v2 API. It is an http.Handler and safe for
// concurrent use.
type Server struct {
	store  *store
	faults faults.Injector
	mux    *http.ServeMux
}

// New returns a server with an empty log. Topics are created on first use.
func New(opts Options) *Server {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	s := &Server{
		store: &store{opts: opts, topics: map[string]*topic{}},
		mux:   http.NewServeMux(),
	}
	s.mux.HandleFunc("POST /topics/{topic}", s.withFaults("append", s.produce))
	s.mux.HandleFunc("GET /topics/{topic}/partitions/{partition}/messages", s.withFaults("read", s.consume))
	s.mux.HandleFunc("GET /topics/{topic}/partitions/{partition}/offsets", s.withFaults("read", s.offsets))
	s.mux.Handle("POST /admin/faults", &s.faults)
	s.mux.HandleFunc("GET /admin/faults", s.faults.ServeInjectedCount)
	s.mux.HandleFunc("GET /admin/topics", s.topics)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFault sets the active fault. The supported modes are None, Down, Flap, Slow and LoseAnswer.
func (s *Server) SetFault(f faults.Fault) {
	s.faults.Set(f)
}

// Topics returns the counters of each topic by its name.
func (s *Server) Topics() map[string]Counters {
	return s.store.counters()
}

// withFaults returns a handler that calls next and applies the active fault to requests of the kind.
func (s *Server) withFaults(kind string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fault := s.faults.NextFor(kind, r.PathValue("topic"))
		switch fault.Mode {
		case faults.Down, faults.Flap:
			writeError(w, http.StatusServiceUnavailable, codeUnavailable, "log is not available")
			return
		case faults.Slow:
			select {
			case <-time.After(fault.Delay()):
			case <-r.Context().Done():
				return
			}
		case faults.LoseAnswer:
			next(discardWriter{header: http.Header{}}, r)
			faults.Abort()
		}
		next(w, r)
	}
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}

type produceRequest struct {
	Records []struct {
		Value []byte `json:"value"`
	} `json:"records"`
}

type producedOffset struct {
	Partition int   `json:"partition"`
	Offset    int64 `json:"offset"`
}

type consumedRecord struct {
	Value     []byte `json:"value"`
	Partition int    `json:"partition"`
	Offset    int64  `json:"offset"`
}

func (s *Server) produce(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Content-Type") != binaryContentType {
		writeError(w, http.StatusUnsupportedMediaType, http.StatusUnsupportedMediaType, "content type is not "+binaryContentType)
		return
	}
	var req produceRequest
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&req); err != nil || len(req.Records) == 0 {
		writeError(w, http.StatusUnprocessableEntity, codeBadRequest, "records are missing or not valid")
		return
	}
	if !s.store.allowAppend() {
		writeError(w, http.StatusTooManyRequests, codeTooManyAppends, "too many appends")
		return
	}
	values := make([][]byte, len(req.Records))
	for i, rec := range req.Records {
		values[i] = rec.Value
	}
	first := s.store.append(r.PathValue("topic"), values)
	offsets := make([]producedOffset, len(values))
	for i := range offsets {
		offsets[i].Offset = first + int64(i)
	}
	writeJSON(w, http.StatusOK, map[string]any{"offsets": offsets})
}

func (s *Server) consume(w http.ResponseWriter, r *http.Request) {
	if !checkPartition(w, r) {
		return
	}
	offset, err := strconv.ParseInt(r.FormValue("offset"), 10, 64)
	if err != nil || offset < 0 {
		writeError(w, http.StatusUnprocessableEntity, codeBadRequest, "offset is not valid")
		return
	}
	count := defaultReadCount
	if raw := r.FormValue("count"); raw != "" {
		count, err = strconv.Atoi(raw)
	}
	if err != nil || count <= 0 {
		writeError(w, http.StatusUnprocessableEntity, codeBadRequest, "count is not valid")
		return
	}
	values, first, next := s.store.read(r.PathValue("topic"), offset, min(count, maxRecordsPerRead))
	if offset < first {
		writeError(w, http.StatusNotFound, codeOffsetExpired, "offset is below the first retained record")
		return
	}
	if offset > next {
		writeError(w, http.StatusUnprocessableEntity, codeBadRequest, "offset is above the next one")
		return
	}
	records := make([]consumedRecord, len(values))
	for i, value := range values {
		records[i] = consumedRecord{Value: value, Offset: offset + int64(i)}
	}
	writeJSON(w, http.StatusOK, records)
}

func (s *Server) offsets(w http.ResponseWriter, r *http.Request) {
	if !checkPartition(w, r) {
		return
	}
	first, next := s.store.bounds(r.PathValue("topic"))
	writeJSON(w, http.StatusOK, map[string]int64{"beginning_offset": first, "end_offset": next})
}

func (s *Server) topics(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.store.counters())
}

func checkPartition(w http.ResponseWriter, r *http.Request) bool {
	if r.PathValue("partition") == "0" {
		return true
	}
	writeError(w, http.StatusNotFound, codeNoPartition, "partition is not known")
	return false
}

func writeError(w http.ResponseWriter, status, code int, message string) {
	writeJSON(w, status, map[string]any{"error_code": code, "message": message})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
