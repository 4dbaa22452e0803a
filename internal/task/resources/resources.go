// Package resources holds what a task takes of an endpoint, and what an
// endpoint has.
package resources

import "github.com/savorystair/savorystair/internal/gen/wirepb"

// Resources are amounts of each kind. The zero value is nothing; as an
// endpoint's capacity it means that the endpoint counts slots only.
type Resources struct {
	CPUMilli int // thousandths of a processor core
	MemoryMB int
	GPUs     int
}

// Of returns the resources of a message, which may be nil.
func Of(m *wirepb.Resources) Resources {
	return Resources{
		CPUMilli: int(m.GetCpuMilli()),
		MemoryMB: int(m.GetMemoryMb()),
		GPUs:     int(m.GetGpus()),
	}
}

// Wire returns the resources as a message, nil for the zero value. Negative
// amounts become zero.
func (r Resources) Wire() *wirepb.Resources {
	if r.IsZero() {
		return nil
	}
	return &wirepb.Resources{
		CpuMilli: uint32(max(0, r.CPUMilli)),
		MemoryMb: uint32(max(0, r.MemoryMB)),
		Gpus:     uint32(max(0, r.GPUs)),
	}
}

// IsZero reports whether there is none of anything.
func (r Resources) IsZero() bool { return r == Resources{} }

// With returns the sum of two amounts.
func (r Resources) With(o Resources) Resources {
	r.CPUMilli += o.CPUMilli
	r.MemoryMB += o.MemoryMB
	r.GPUs += o.GPUs
	return r
}

// Without returns the difference of two amounts, which may be negative.
func (r Resources) Without(o Resources) Resources {
	r.CPUMilli -= o.CPUMilli
	r.MemoryMB -= o.MemoryMB
	r.GPUs -= o.GPUs
	return r
}

// Holds reports whether need is at most r in every kind.
func (r Resources) Holds(need Resources) bool {
	return need.CPUMilli <= r.CPUMilli && need.MemoryMB <= r.MemoryMB && need.GPUs <= r.GPUs
}
