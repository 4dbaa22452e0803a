package entry

import (
	"slices"
	"time"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

const (
	// maxCrashRecords limits the number of tasks whose crashes are recorded.
	maxCrashRecords = 256
	// crashRetention is how long the crashes of a task are recorded after the
	// latest one. A caller submits a job again within a few seconds.
	crashRetention = time.Minute
)

// crashRecord counts the crashes of the endpoint during runs of one task of a
// repeatable job.
type crashRecord struct {
	team        string
	callerJobID string
	task        uint32
	crashes     uint32
	at          time.Duration // of the latest crash
}

// recordCrash counts a crash of the endpoint during a run, and reports it to all
// entries: the caller may submit the job again at any of them.
func (s *State) recordCrash(now time.Duration, r *taskRecord) {
	if r.callerJobID == "" {
		return
	}
	record := &crashRecord{team: r.ref.Team, callerJobID: r.callerJobID, task: r.ref.Task}
	s.crashes = slices.DeleteFunc(s.crashes, func(c *crashRecord) bool {
		if c.team == record.team && c.callerJobID == record.callerJobID && c.task == record.task {
			record.crashes = c.crashes
			return true
		}
		return now-c.at >= crashRetention
	})
	record.crashes++
	record.at = now
	s.crashes = append(s.crashes, record)
	s.crashes = s.crashes[max(0, len(s.crashes)-maxCrashRecords):]
	for _, l := range s.openLinks {
		s.sendCrashNotice(l, record)
	}
}

// sendCrashNotice reports the crashes during the runs of a task. The update has the
// job's id as its caller gave it and no generation; the attempt is the number of
// crashes.
func (s *State) sendCrashNotice(l *link, record *crashRecord) {
	msg := s.pendingMessage(l)
	msg.Updates = append(msg.Updates, &wirepb.Update{
		Team:    record.team,
		JobId:   record.callerJobID,
		Task:    record.task,
		Attempt: record.crashes,
		State:   wirepb.TaskState_TASK_STATE_FAILED,
		Reason:  uint32(reason.EndpointCrashed),
	})
}
