package placement

import (
	"time"

	"gonum.org/v1/gonum/mat"
)

const (
	// forget is the weight that an observation keeps at the next one: about 400 count.
	forget = 0.9975
	// priorWeight is the number of observations that the prior stands for.
	priorWeight = 20
	// priorBase is the time to the first event of an idle engine, in seconds, before any
	// has been observed.
	priorBase = 0.05
	// priorSpread is the number of tokens that the prior varies by.
	priorSpread = 5000
	// refit is the number of observations between two solutions.
	refit = 8
	// priorBound is how many times the prior slope and base the learned ones may differ by.
	priorBound = 4
)

// timing predicts the time to the first event of an engine from the prompt tokens it has
// still to read and the requests it runs: seconds, seconds a token, seconds a running request.
type timing [3]float64

// slope returns the seconds that a token to read takes.
func (t timing) slope() float64 { return t[1] }

func (t timing) predict(tokens, running int, speed float64) time.Duration {
	return seconds(speed * (t[0] + t[1]*float64(tokens) + t[2]*float64(running)))
}

// timeModel learns the timing of a service's engines by weighted least squares with forgetting.
type timeModel struct {
	timing
	xx       [3][3]float64 // sums of products of (1, tokens, running)
	xy       [3]float64
	start    float64 // prior seconds a token
	since    int
	observed float64 // observations, weighed like the sums
}

func newTimeModel() *timeModel {
	m := &timeModel{}
	m.reset(1.0 / 50_000)
	return m
}

// prior sets the tokens a second that are expected before anything is observed.
func (m *timeModel) prior(tokensPerSecond float64) {
	if tokensPerSecond <= 0 {
		return
	}
	// Reading alone is faster than the rate that counts reading and generation together.
	slope := 0.5 / tokensPerSecond
	if slope != m.start {
		m.reset(slope)
	}
}

func (m *timeModel) reset(slope float64) {
	m.start = slope
	m.timing = timing{priorBase, slope, 0}
	m.xx, m.xy, m.observed = [3][3]float64{}, [3]float64{}, 0
	for _, x := range []float64{0, priorSpread} {
		for i := range priorWeight {
			m.add([3]float64{1, x, float64(i)}, priorBase+slope*x)
		}
	}
}

func (m *timeModel) add(x [3]float64, y float64) {
	for i := range x {
		for j := range x {
			m.xx[i][j] += x[i] * x[j]
		}
		m.xy[i] += x[i] * y
	}
}

func (m *timeModel) observe(tokens, running int, took float64) {
	for i := range m.xx {
		for j := range m.xx[i] {
			m.xx[i][j] *= forget
		}
		m.xy[i] *= forget
	}
	// One silent server must not teach the model of all.
	took = min(took, 4*m.predict(tokens, running, 1).Seconds())
	m.add([3]float64{1, float64(tokens), float64(running)}, took)
	m.observed = m.observed*forget + 1
	m.since++
	if m.since >= refit {
		m.since = 0
		m.solve()
	}
}

func (m *timeModel) solve() {
	var coef mat.VecDense
	a := mat.NewDense(3, 3, []float64{
		m.xx[0][0], m.xx[0][1], m.xx[0][2],
		m.xx[1][0], m.xx[1][1], m.xx[1][2],
		m.xx[2][0], m.xx[2][1], m.xx[2][2],
	})
	if err := coef.SolveVec(a, mat.NewVecDense(3, m.xy[:])); err != nil {
		return // singular: the last solution stays
	}
	m.timing[0] = clamp(coef.AtVec(0), 0.001, priorBase*priorBound)
	m.timing[1] = clamp(coef.AtVec(1), m.start/priorBound, m.start*priorBound)
	m.timing[2] = max(coef.AtVec(2), 0)
}
