/// A gateway: forwards callers' requests to the backend servers of a deployment, using the routes
/// and the list of backend servers in the platform's store.
#pragma once

#include "gateway_port.h"
#include "process.h"

#include <memory>

namespace magnolia {

/// The gateway of one process, created by its main function. Single-threaded: run() executes all
/// I/O and all handlers on the calling thread.
class gateway {
public:
    gateway(process& owner, const gateway_settings& settings, const gateway_codec& codec,
            const store_codec& store);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Serves until a planned stop is complete. Errors: connection if an address cannot be bound.
    [[nodiscard]] result<void> run();

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace magnolia
