package table

import (
	"net/http"

	"github.com/savorystair/savorystair/internal/gen/tablepb"
)

// Handler returns an HTTP handler for the Table and TableFaults services.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(tablepb.NewTableHandler(t))
	mux.Handle(tablepb.NewTableFaultsHandler(t))
	return mux
}
