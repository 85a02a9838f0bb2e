/// Message that a decision wants sent to another member.
#pragma once

#include <magnolia/schema.h>

#include <string>

namespace magnolia {

/// A message to another member, by its name.
struct outgoing_message {
    std::string member;
    peer_message message;
};

} // namespace magnolia
