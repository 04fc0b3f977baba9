package placement

import (
	"time"

	"gonum.org/v1/gonum/mat"
)

const (
	// forgettingFactor is the factor by which the weight of earlier observations shrinks with each
	// new one: about 400 observations count.
	forgettingFactor = 0.9975
	// priorWeight is the number of samples of the prior at each of its two prompt sizes.
	priorWeight = 20
	// priorBaseSeconds is the time to the first event of an idle engine that is assumed before
	// anything is observed.
	priorBaseSeconds = 0.05
	// priorTokens is the larger of the two prompt sizes, in tokens, of the prior; the other is 0.
	priorTokens = 5000
	// refitInterval is the number of observations between two fits.
	refitInterval = 8
	// maxPriorRatio bounds the ratio of the fitted to the prior base and slope.
	maxPriorRatio = 4
)

// coefficients is a linear model of an engine's time to the first event: seconds on an idle
// engine, seconds per prompt token to prefill and seconds per running request.
type coefficients [3]float64

// perToken returns the prefill time of a token in seconds.
func (c coefficients) perToken() float64 { return c[1] }

func (c coefficients) predict(tokens, running int, slowdown float64) time.Duration {
	return seconds(slowdown * (c[0] + c[1]*float64(tokens) + c[2]*float64(running)))
}

// timingRegression fits the coefficients of a service's engines by weighted least squares with
// exponential forgetting.
type timingRegression struct {
	coefficients
	xtx          [3][3]float64 // Gram matrix: sums of products of (1, tokens, running)
	xty          [3]float64    // sums of products of (1, tokens, running) and the observed seconds
	priorSlope   float64       // seconds per token
	sinceFit     int           // observations since the last fit
	observations float64       // number of observations, weighted by forgettingFactor
}

func newTimingRegression() *timingRegression {
	m := &timingRegression{}
	m.reset(1.0 / 50_000)
	return m
}

// setPrior sets the capacity in tokens per second that is assumed before anything is observed. A
// changed capacity discards all observations.
func (m *timingRegression) setPrior(tokensPerSecond float64) {
	if tokensPerSecond <= 0 {
		return
	}
	// Prefill alone is faster than the capacity, which counts prefill and generation together.
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
	// Limits the influence of a single stalled server on the model, which all servers of the
	// service share.
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
		return // singular: keep the last fit
	}
	m.coefficients[0] = clamp(coef.AtVec(0), 0.001, priorBaseSeconds*maxPriorRatio)
	m.coefficients[1] = clamp(coef.AtVec(1), m.priorSlope/maxPriorRatio, m.priorSlope*maxPriorRatio)
	m.coefficients[2] = max(coef.AtVec(2), 0)
}
