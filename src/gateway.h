/// A gateway host: forwards callers' requests to the backend servers of a deployment, with what the
/// platform's store says of routes and backend servers. One thread does all of it.
#pragma once

#include "gateway_port.h"
#include "process.h"

#include <memory>

namespace magnolia {

class gateway {
public:
    gateway(process& owner, const gateway_settings& settings, const gateway_codec& codec,
            const store_codec& store);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Serves until a planned stop is complete. Errors: connection.
    [[nodiscard]] result<void> run();

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace magnolia
