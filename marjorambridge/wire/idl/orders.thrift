// Generated from marjorambridge/orders/messages.py by scripts/generate_idl.py.
namespace py orders

struct Order {
  1: i64 fencing
  2: i64 number
  3: string kind
  4: string name
  5: i64 load_bytes = 0
}

struct EndpointSummary {
  1: string endpoint
  2: i64 incarnation
  3: string reserved_service
  4: string address
  5: list<string> models = []
  6: list<string> adapters = []
  7: string role = "any"
  8: string version = ""
  9: bool checks_fencing = false
  10: bool leaving = false
  11: double age = 0.0
}

struct EndpointInventory {
  1: list<EndpointSummary> endpoints
}

struct LoadDemand {
  1: string reserved_service
  2: string model
  3: i64 waiting
}
