package capacity

import (
	"bufio"
	_ "embed"
	"io"
	"strconv"
	"strings"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/errs"
)

//go:embed slopes.yaml
var embedded []byte

// Line is the linear function of one measure of one VM: Base plus the sum of each
// slope times the value of its driver.
type Line struct {
	Base   float64            `yaml:"base"`
	Slopes map[driver]float64 `yaml:"slopes"`
}

// Slopes holds the line of each measure, by the name of the measure.
type Slopes struct {
	Measures map[string]Line `yaml:"measures" validate:"required"`
}

// EmbeddedSlopes returns the slopes of the latest measurements, from the embedded file
// slopes.yaml.
func EmbeddedSlopes() (Slopes, error) {
	var slopes Slopes
	err := daemon.DecodeYAML("slopes.yaml", embedded, &slopes)
	return slopes, err
}

// value returns the estimate of a measure for a size, or 0 if there is no such
// measure.
func (s Slopes) value(measure string, size Size) float64 {
	line := s.Measures[measure]
	total := line.Base
	for name, amount := range size.values() {
		total += line.Slopes[name] * amount
	}
	return total
}

// point is one measured value of a measure, with the size of its driver.
type point struct {
	size, value float64
}

// rounded returns the line with significantDigits digits and without slopes of 0.
func (l Line) rounded() Line {
	result := Line{Base: significant(l.Base), Slopes: map[driver]float64{}}
	for name, slope := range l.Slopes {
		if slope != 0 {
			result.Slopes[name] = significant(slope)
		}
	}
	return result
}

const significantDigits = 5

func significant(x float64) float64 {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(x, 'g', significantDigits, 64), 64)
	if err != nil {
		return x
	}
	return rounded
}

// measurements holds the points by series, then by measure.
type measurements map[driver]map[string][]point

// Fit reads the output of scripts/slopes.sh and returns the fitted slopes. It fails
// with kind Invalid if a line cannot be parsed.
func Fit(lines io.Reader) (Slopes, error) {
	measured, err := readMeasurements(lines)
	if err != nil {
		return Slopes{}, err
	}
	slopes := Slopes{Measures: map[string]Line{}}
	for _, series := range measured {
		for measure := range series {
			slopes.Measures[measure] = measured.line(measure).rounded()
		}
	}
	return slopes, nil
}

func readMeasurements(lines io.Reader) (measurements, error) {
	measured := measurements{}
	scanner := bufio.NewScanner(lines)
	for number := 1; scanner.Scan(); number++ {
		if err := measured.add(scanner.Text()); err != nil {
			return nil, errs.Wrap(err, errs.Invalid, "cannot parse line "+strconv.Itoa(number)+" of the measurements",
				"pass the unchanged output of scripts/slopes.sh")
		}
	}
	return measured, scanner.Err()
}

// add parses a line "series <TAB> size <TAB> measure <TAB> value" and adds its point.
func (m measurements) add(line string) error {
	fields := strings.Split(line, "\t")
	if len(fields) != 4 {
		return errs.New(errs.Invalid, strconv.Itoa(len(fields))+" fields instead of 4", "separate series, size, measure and value by tabs")
	}
	size, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return err
	}
	value, err := strconv.ParseFloat(fields[3], 64)
	if err != nil {
		return err
	}
	series := driver(fields[0])
	if m[series] == nil {
		m[series] = map[string][]point{}
	}
	m[series][fields[2]] = append(m[series][fields[2]], point{size: size, value: value})
	return nil
}

// line fits the line of one measure. The series "changes" has one change per second,
// and its size is the number of client accounts. The cost of a change is therefore the
// difference between this series and the series "accounts", which has no changes. The
// cost of a key is the cost of a client account, scaled by the bytes that each takes
// in the configuration.
func (m measurements) line(measure string) Line {
	line := Line{Slopes: map[driver]float64{}}
	line.Base, line.Slopes[driverVMs] = trend(m[driverVMs][measure])
	for _, series := range []driver{driverServers, driverRoutes, driverRequests, driverProtected} {
		_, line.Slopes[series] = trend(m[series][measure])
	}
	for _, series := range []driver{driverActive, driverServices} {
		_, slope := trend(m[series][measure])
		line.Slopes[series] = max(0, slope-requestsPerActiveItem*line.Slopes[driverRequests])
	}
	idleBase, perAccount := trend(m[driverAccounts][measure])
	line.Slopes[driverAccounts] = perAccount
	line.Slopes[driverKeys] = perAccount * m.keyToAccountSizeRatio()
	if changing := m[driverChanges][measure]; len(changing) > 0 {
		changingBase, perAccountChange := trend(changing)
		line.Slopes[driverChanges] = max(0, changingBase-idleBase)
		line.Slopes[driverChangeAccount] = max(0, perAccountChange-perAccount) * (1 + m.keyToAccountSizeRatio())
	}
	return line
}

// requestsPerActiveItem is the number of requests per second that a VM gets for each
// client account of the series "active" and each service of the series "services".
const requestsPerActiveItem = 2

// keyToAccountSizeRatio returns the size of a key in the configuration divided by the
// size of a client account, or 0 if that is unknown.
func (m measurements) keyToAccountSizeRatio() float64 {
	_, key := trend(m[driverKeys][measureConfigBytes])
	_, account := trend(m[driverAccounts][measureConfigBytes])
	if account == 0 {
		return 0
	}
	return key / account
}

// Thresholds below which a slope counts as noise and becomes 0. A slope that is only
// noise would give wrong estimates far beyond the measured sizes.
const (
	minGrowth        = 0.05 // growth over the measured sizes, as a share of the mean
	minDetermination = 0.7  // coefficient of determination
)

// trend returns the least-squares line through the points, or their mean and the
// slope 0 if the growth is below the thresholds.
func trend(points []point) (base, slope float64) {
	if len(points) == 0 {
		return 0, 0
	}
	n := float64(len(points))
	var size, value float64 // means
	for _, p := range points {
		size += p.size / n
		value += p.value / n
	}
	var sizeSquares, products, valueSquares float64 // sums, of the deviations from the means
	lowest, highest := points[0].size, points[0].size
	for _, p := range points {
		sizeSquares += (p.size - size) * (p.size - size)
		products += (p.size - size) * (p.value - value)
		valueSquares += (p.value - value) * (p.value - value)
		lowest, highest = min(lowest, p.size), max(highest, p.size)
	}
	if sizeSquares == 0 || valueSquares == 0 {
		return value, 0
	}
	slope = products / sizeSquares
	if slope*(highest-lowest) < minGrowth*value || products*products/(sizeSquares*valueSquares) < minDetermination {
		return value, 0
	}
	return value - slope*size, slope
}
