package table

import (
	"net/http"

	"github.com/savorystair/savorystair/internal/gen/tablepb"
)

// Handler serves the table and its faults.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(tablepb.NewTableHandler(t))
	mux.Handle(tablepb.NewTableFaultsHandler(t))
	return mux
}
