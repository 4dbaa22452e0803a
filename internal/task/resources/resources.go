// Package resources defines the amounts of resources that a task needs and that
// an endpoint has.
package resources

import "github.com/savorystair/savorystair/internal/gen/wirepb"

// Resources holds an amount of each resource. The zero value as an endpoint's
// capacity means that the endpoint counts slots only. The names of the fields
// must not change, since package internal/entry/rest computes the digest of a job
// from their JSON encoding, and claim rows store the digest.
type Resources struct {
	CPUMilli int // thousandths of a processor core
	MemoryMB int
	GPUs     int
}

// FromWire returns the resources in a message, which may be nil.
func FromWire(m *wirepb.Resources) Resources {
	return Resources{
		CPUMilli: int(m.GetCpuMilli()),
		MemoryMB: int(m.GetMemoryMb()),
		GPUs:     int(m.GetGpus()),
	}
}

// Wire returns the resources as a message, or nil for the zero value. Negative
// amounts are sent as zero.
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

// IsZero reports whether every amount is zero.
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

// Covers reports whether every amount in need is at most the amount in r.
func (r Resources) Covers(need Resources) bool {
	return need.CPUMilli <= r.CPUMilli && need.MemoryMB <= r.MemoryMB && need.GPUs <= r.GPUs
}
