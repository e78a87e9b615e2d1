package engine

import (
	"net/http"

	wire "papayaport.dev/serving/connection/engine"
)

// Check tells whether an order may be carried out: its kind is known and its fencing
// number is not old. It notes the number.
func (m *Model) Check(order wire.Order) error {
	if _, known := orders[order.Kind]; !known {
		return &Refusal{http.StatusBadRequest, "unknown kind of order " + string(order.Kind)}
	}
	if m.cfg.Fenced && order.Fencing < m.fencing {
		return &Refusal{http.StatusConflict, "the fencing number is old"}
	}
	m.fencing = max(m.fencing, order.Fencing)
	return nil
}

// Apply carries an order out. The weights of a model to load have been fetched before.
func (m *Model) Apply(order wire.Order) error {
	if err := m.Check(order); err != nil {
		return err
	}
	orders[order.Kind](m, order)
	return nil
}

// orders holds the effect of every kind of order.
var orders = map[wire.OrderKind]func(*Model, wire.Order){
	wire.LoadModel:   func(m *Model, o wire.Order) { m.models[o.Model] = true },
	wire.UnloadModel: func(m *Model, o wire.Order) { delete(m.models, o.Model) },
	wire.LoadAdapter: func(m *Model, o wire.Order) { m.models[o.Model+":"+o.Adapter] = true },
	wire.SetRole:     func(m *Model, o wire.Order) { m.role = o.Role },
}
