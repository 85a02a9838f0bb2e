/// The entry process: one I/O thread each for callers, decisions, backend servers, the platform and
/// other entries, connected by bounded queues.
#pragma once

#include "process.h"

#include <memory>

namespace magnolia {

/// Starts the I/O threads of an entry, serves until a planned stop, and drains the open requests.
class entry_server {
public:
    entry_server(process& owner, const entry_settings& settings);
    ~entry_server();
    entry_server(const entry_server&) = delete;
    entry_server& operator=(const entry_server&) = delete;

    /// Serves until the planned stop has completed. Errors: connection if a listener cannot be
    /// opened.
    [[nodiscard]] result<void> run();

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace magnolia
