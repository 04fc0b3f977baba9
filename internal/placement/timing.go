package placement

import (
	"time"

	"gonum.org/v1/gonum/mat"
)

const (
	// forget is the weight that an observation keeps at the next one: about 400 count.
	forgettingFactor = 0.9975
	// priorWeight is the number of observations that the prior stands for.
	priorWeight = 20
	// priorBase is the time to the first event of an idle engine, in seconds, before any
	// has been observed.
	priorBaseSeconds = 0.05
	// priorSpread is the number of tokens that the prior varies by.
	priorTokens = 5000
	// refit is the number of observations between two solutions.
	refitInterval = 8
	// priorBound is how many times the prior slope and base the learned ones may differ by.
	maxPriorRatio = 4
)

// coefficients predicts the time to the first event of an engine from the prompt tokens it has
// still to read and the requests it runs: seconds, seconds a token, seconds a running request.
type coefficients [3]float64

// slope returns the seconds that a token to read takes.
func (c coefficients) perToken() float64 { return c[1] }

func (c coefficients) predict(tokens, running int, slowdown float64) time.Duration {
	return seconds(slowdown * (c[0] + c[1]*float64(tokens) + c[2]*float64(running)))
}

// timeModel learns the timing of a service's engines by weighted least squares with forgetting.
type timingRegression struct {
	coefficients
	xtx          [3][3]float64 // sums of products of (1, tokens, running)
	xty          [3]float64
	priorSlope   float64 // prior seconds a token
	sinceFit     int
	observations float64 // observations, weighed like the sums
}

func newTimingRegression() *timingRegression {
	m := &timingRegression{}
	m.reset(1.0 / 50_000)
	return m
}

// prior sets the tokens a second that are expected before anything is observed.
func (m *timingRegression) setPrior(tokensPerSecond float64) {
	if tokensPerSecond <= 0 {
		return
	}
	// Reading alone is faster than the rate that counts reading and generation together.
	slope := 0.5 / tokensPerSecond
	if slope != m.priorSlope {
		m.reset(slope)
	}
}

func (m *timingRegression) reset(slope float64) {
	m.priorSlope = slope
	m.coefficients = coefficients{priorBaseSeconds, slope, 0}
	m.xtx, m.xty, m.observations = [3][3]float64{}, [3]float64{}, 0
	for _, x := range []float64{0, priorTokens} {
		for i := range priorWeight {
			m.addSample([3]float64{1, x, float64(i)}, priorBaseSeconds+slope*x)
		}
	}
}

func (m *timingRegression) addSample(x [3]float64, y float64) {
	for i := range x {
		for j := range x {
			m.xtx[i][j] += x[i] * x[j]
		}
		m.xty[i] += x[i] * y
	}
}

func (m *timingRegression) observe(tokens, running int, took float64) {
	for i := range m.xtx {
		for j := range m.xtx[i] {
			m.xtx[i][j] *= forgettingFactor
		}
		m.xty[i] *= forgettingFactor
	}
	// One silent server must not teach the model of all.
	took = min(took, 4*m.predict(tokens, running, 1).Seconds())
	m.addSample([3]float64{1, float64(tokens), float64(running)}, took)
	m.observations = m.observations*forgettingFactor + 1
	m.sinceFit++
	if m.sinceFit >= refitInterval {
		m.sinceFit = 0
		m.fit()
	}
}

func (m *timingRegression) fit() {
	var coef mat.VecDense
	a := mat.NewDense(3, 3, []float64{
		m.xtx[0][0], m.xtx[0][1], m.xtx[0][2],
		m.xtx[1][0], m.xtx[1][1], m.xtx[1][2],
		m.xtx[2][0], m.xtx[2][1], m.xtx[2][2],
	})
	if err := coef.SolveVec(a, mat.NewVecDense(3, m.xty[:])); err != nil {
		return // singular: the last solution stays
	}
	m.coefficients[0] = clamp(coef.AtVec(0), 0.001, priorBaseSeconds*maxPriorRatio)
	m.coefficients[1] = clamp(coef.AtVec(1), m.priorSlope/maxPriorRatio, m.priorSlope*maxPriorRatio)
	m.coefficients[2] = max(coef.AtVec(2), 0)
}
