/// The running entry: one duty each for callers, decisions, back ends, the platform and other
/// entries, joined by bounded rings.
#pragma once

#include "process.h"

#include <memory>

namespace magnolia {

/// Starts the duties of an entry, serves until a planned stop, and finishes what is under way.
class entry_server {
public:
    entry_server(process& owner, const entry_settings& settings);
    ~entry_server();
    entry_server(const entry_server&) = delete;
    entry_server& operator=(const entry_server&) = delete;

    /// Serves until the planned stop has ended. Errors: connection if a listener cannot be opened.
    [[nodiscard]] result<void> run();

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace magnolia
