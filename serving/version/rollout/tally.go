package rollout

import "math"

const (
	// ratioBuckets is the number of buckets of a histogram of ratios.
	ratioBuckets = 16
	// ratioLowest is the upper end of the first bucket. With 16 buckets the last starts at 16,
	// so that 2.5 times the median is within the buckets for medians from 0.125 to 6.4.
	ratioLowest = 0.125
	// bucketsPerDoubling sets the bucket width: each bucket is sqrt(2) times as wide as the one
	// before.
	bucketsPerDoubling = 2
)

// Tally counts answers, failures and, in histograms of ratioBuckets buckets, the ratios of times
// to their estimates. Bucket i > 0 holds ratios from ratioLowest * sqrt(2)^(i-1) to sqrt(2)
// times that; the first holds all below and the last all above.
type Tally struct {
	Answers  int   `cbor:"1,keyasint" json:"answers"`
	Failures int   `cbor:"2,keyasint" json:"failures"`
	First    []int `cbor:"3,keyasint,omitempty" json:"first,omitempty"`
	Whole    []int `cbor:"4,keyasint,omitempty" json:"whole,omitempty"`
	// Waiting holds the attempts without a first event by their waiting time so far. It is not
	// cumulative.
	Waiting []int `cbor:"5,keyasint,omitempty" json:"waiting,omitempty"`
}

// bucket returns the index of a ratio's bucket.
func bucket(ratio float64) int {
	if !(ratio > ratioLowest) {
		return 0
	}
	if math.IsInf(ratio, 1) {
		return ratioBuckets - 1
	}
	i := math.Ceil(bucketsPerDoubling * math.Log2(ratio/ratioLowest))
	return int(min(i, ratioBuckets-1))
}

// countRatio adds a ratio to a histogram, which it extends as needed.
func countRatio(histogram []int, ratio float64) []int {
	i := bucket(ratio)
	for len(histogram) <= i {
		histogram = append(histogram, 0)
	}
	histogram[i]++
	return histogram
}

// answered counts a finished attempt. The times of failed ones are left out, since a fast
// failure is not a fast answer.
func (t *Tally) answered(failed bool, first, whole float64) {
	t.Answers++
	if failed {
		t.Failures++
		return
	}
	if first > 0 {
		t.First = countRatio(t.First, first)
	}
	if whole > 0 {
		t.Whole = countRatio(t.Whole, whole)
	}
}

// combine joins the cumulative counts of another tally into this one. Negative counts and
// buckets beyond the last are ignored, since reports come from other processes.
func (t *Tally) combine(other Tally, join func(a, b int) int) {
	t.Answers = join(t.Answers, max(other.Answers, 0))
	t.Failures = join(t.Failures, max(other.Failures, 0))
	t.First = combineHistograms(t.First, other.First, join)
	t.Whole = combineHistograms(t.Whole, other.Whole, join)
}

// add adds another tally to this one, including the waiting attempts.
func (t *Tally) add(other Tally) {
	t.combine(other, addCounts)
	t.Waiting = combineHistograms(t.Waiting, other.Waiting, addCounts)
}

// combineHistograms modifies and returns a, or a longer copy of it if b is longer.
func combineHistograms(a, b []int, join func(a, b int) int) []int {
	b = b[:min(len(b), ratioBuckets)]
	if len(a) < len(b) {
		a = append(a, make([]int, len(b)-len(a))...)
	}
	for i := range a {
		count := 0
		if i < len(b) {
			count = max(b[i], 0)
		}
		a[i] = join(a[i], count)
	}
	return a
}

func addCounts(a, b int) int { return a + b }

func maxCount(a, b int) int { return max(a, b) }

func subtractCounts(a, b int) int { return max(a-b, 0) }

func histogramTotal(histogram []int) int {
	n := 0
	for _, count := range histogram {
		n += count
	}
	return n
}

// median returns the median ratio of a histogram, interpolated within its bucket; 0 for an empty
// histogram.
func median(histogram []int) float64 {
	half := float64(histogramTotal(histogram)) / 2
	if half == 0 {
		return 0
	}
	below := 0.0
	for i, count := range histogram {
		if below+float64(count) < half {
			below += float64(count)
			continue
		}
		if i == 0 {
			return ratioLowest
		}
		part := (half - below) / float64(count)
		return ratioLowest * math.Exp2((float64(i-1)+part)/bucketsPerDoubling)
	}
	return 0
}

// countAbove returns the number of ratios in a histogram above a threshold. For the bucket that
// contains the threshold it interpolates, rounded down.
func countAbove(histogram []int, threshold float64) int {
	if threshold <= 0 {
		return 0
	}
	at := bucket(threshold)
	above := 0
	for i := at + 1; i < len(histogram); i++ {
		above += histogram[i]
	}
	if at >= len(histogram) || at == 0 {
		return above
	}
	if at == ratioBuckets-1 {
		return 0
	}
	upper := float64(at)
	part := upper - bucketsPerDoubling*math.Log2(threshold/ratioLowest)
	return above + int(part*float64(histogram[at]))
}
