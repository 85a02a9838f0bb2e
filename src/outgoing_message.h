/// Outgoing messages of the decision code. The decision code does no I/O: it returns them, and the
/// caller sends them.
#pragma once

#include <magnolia/schema.h>

#include <string>

namespace magnolia {

/// Message and the name of the member that receives it.
struct outgoing_message {
    std::string member;
    peer_message message;
};

} // namespace magnolia
