package main_test

import (
	"context"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/standin/local"
)

// TestScripts runs the scripts in testdata/script against a local system.
func TestScripts(t *testing.T) {
	t.Parallel()
	s, err := local.Start(t.Context(), local.Options{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := s.Stop(ctx); err != nil {
			t.Error(err)
		}
	})
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("CALLER", s.Entries[0].CallerAddress())
			env.Setenv("OPERATOR", s.Entries[0].OperatorAddress())
			return nil
		},
	})
}
