package engine

import (
	"net/http"

	wire "papayaport.dev/serving/connection/engine"
)

// CheckOrder returns an error if an order must not be executed: its kind is unknown, or its fencing
// token is stale and the engine is fenced. It stores the highest token.
func (m *Model) CheckOrder(order wire.Order) error {
	if _, known := orderHandlers[order.Kind]; !known {
		return &Refusal{http.StatusBadRequest, "unknown order kind " + string(order.Kind)}
	}
	if m.cfg.Fenced && order.Fencing < m.fencing {
		return &Refusal{http.StatusConflict, "the fencing token is stale"}
	}
	m.fencing = max(m.fencing, order.Fencing)
	return nil
}

// ExecuteOrder executes an order. The caller must already have fetched the weights of a model to load.
func (m *Model) ExecuteOrder(order wire.Order) error {
	if err := m.CheckOrder(order); err != nil {
		return err
	}
	orderHandlers[order.Kind](m, order)
	return nil
}

// orderHandlers holds the function that executes each kind of order.
var orderHandlers = map[wire.OrderKind]func(*Model, wire.Order){
	wire.LoadModel:   func(m *Model, o wire.Order) { m.models[o.Model] = true },
	wire.UnloadModel: func(m *Model, o wire.Order) { delete(m.models, o.Model) },
	wire.LoadAdapter: func(m *Model, o wire.Order) { m.models[o.Model+":"+o.Adapter] = true },
	wire.SetRole:     func(m *Model, o wire.Order) { m.role = o.Role },
}
