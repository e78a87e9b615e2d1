package rollout

import "gonum.org/v1/gonum/stat/distuv"

// binomialTail returns the probability of at least bad failures among n answers if each fails
// with probability rate.
func binomialTail(n, bad int, rate float64) float64 {
	switch {
	case bad <= 0:
		return 1
	case rate <= 0:
		return 0
	}
	return distuv.Binomial{N: float64(n), P: rate}.Survival(float64(bad) - 1)
}
