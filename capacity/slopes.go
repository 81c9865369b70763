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

// Line says how one measure of one VM grows: Base plus each slope times its driver.
type Line struct {
	Base   float64            `yaml:"base"`
	Slopes map[driver]float64 `yaml:"slopes"`
}

// Slopes holds a line for each measure.
type Slopes struct {
	Measures map[string]Line `yaml:"measures" validate:"required"`
}

// Embedded returns the slopes measured last.
func Embedded() (Slopes, error) {
	var slopes Slopes
	err := daemon.DecodeYAML("slopes.yaml", embedded, &slopes)
	return slopes, err
}

// value returns the measure at a size; a measure that is not known is 0.
func (s Slopes) value(measure string, size Size) float64 {
	line := s.Measures[measure]
	total := line.Base
	for name, amount := range size.values() {
		total += line.Slopes[name] * amount
	}
	return total
}

// point is one figure of scripts/slopes.sh.
type point struct {
	size, value float64
}

// rounded returns the line without slopes of 0 and with few digits.
func (l Line) rounded() Line {
	short := Line{Base: significant(l.Base), Slopes: map[driver]float64{}}
	for name, slope := range l.Slopes {
		if slope != 0 {
			short.Slopes[name] = significant(slope)
		}
	}
	return short
}

const significantDigits = 5

func significant(x float64) float64 {
	short, err := strconv.ParseFloat(strconv.FormatFloat(x, 'g', significantDigits, 64), 64)
	if err != nil {
		return x
	}
	return short
}

type measurements map[driver]map[string][]point // by series, then measure

// Fit reads the lines of scripts/slopes.sh and returns the slopes.
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
			return nil, errs.Wrap(err, errs.Invalid, "line "+strconv.Itoa(number)+" of the measurements",
				"pass the output of scripts/slopes.sh as it is")
		}
	}
	return measured, scanner.Err()
}

// add parses "series <TAB> size <TAB> measure <TAB> value".
func (m measurements) add(line string) error {
	fields := strings.Split(line, "\t")
	if len(fields) != 4 {
		return errs.New(errs.Invalid, strconv.Itoa(len(fields))+" fields", "separate four fields by tabs")
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

// line fits one measure. The series of changes has one change a second and its
// size is the number of client accounts; what it has above the idle series of
// client accounts is the cost of a change. A key costs as much as the part of a
// client account that has the same bytes of configuration.
func (m measurements) line(measure string) Line {
	line := Line{Slopes: map[driver]float64{}}
	line.Base, line.Slopes[driverVMs] = trend(m[driverVMs][measure])
	for _, series := range []driver{driverServers, driverRoutes, driverRequests, driverProtected} {
		_, line.Slopes[series] = trend(m[series][measure])
	}
	for _, series := range []driver{driverActive, driverServices} {
		_, slope := trend(m[series][measure])
		line.Slopes[series] = max(0, slope-requestsPerActive*line.Slopes[driverRequests])
	}
	idle, perAccount := trend(m[driverAccounts][measure])
	line.Slopes[driverAccounts] = perAccount
	line.Slopes[driverKeys] = perAccount * m.accountsPerKey()
	if changing := m[driverChanges][measure]; len(changing) > 0 {
		atOnce, perAccountChange := trend(changing)
		line.Slopes[driverChanges] = max(0, atOnce-idle)
		line.Slopes[driverChangeAccount] = max(0, perAccountChange-perAccount) * (1 + m.accountsPerKey())
	}
	return line
}

// requestsPerActive is the number of requests a second that a VM gets for each
// client account of the series "active" and each service of "services".
const requestsPerActive = 2

// accountsPerKey is the size of a key's configuration in client accounts.
func (m measurements) accountsPerKey() float64 {
	_, key := trend(m[driverKeys][measureConfigBytes])
	_, account := trend(m[driverAccounts][measureConfigBytes])
	if account == 0 {
		return 0
	}
	return key / account
}

// Slopes that do not stand out of the noise would be nonsense far beyond the
// measured sizes.
const (
	leastGrowth      = 0.05 // over the measured sizes, of the mean
	leastCorrelation = 0.7  // coefficient of determination
)

// trend returns the least-squares line through the points, or their mean where
// no growth stands out.
func trend(points []point) (base, slope float64) {
	if len(points) == 0 {
		return 0, 0
	}
	n := float64(len(points))
	var size, value float64
	for _, p := range points {
		size += p.size / n
		value += p.value / n
	}
	var spread, rise, variance float64
	lowest, highest := points[0].size, points[0].size
	for _, p := range points {
		spread += (p.size - size) * (p.size - size)
		rise += (p.size - size) * (p.value - value)
		variance += (p.value - value) * (p.value - value)
		lowest, highest = min(lowest, p.size), max(highest, p.size)
	}
	if spread == 0 || variance == 0 {
		return value, 0
	}
	slope = rise / spread
	if slope*(highest-lowest) < leastGrowth*value || rise*rise/(spread*variance) < leastCorrelation {
		return value, 0
	}
	return value - slope*size, slope
}
