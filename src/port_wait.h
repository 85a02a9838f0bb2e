/// Ports that another socket still has while a program starts: of an earlier process in its planned
/// stop, or of an outgoing connection.
#pragma once

#include "log.h"

#include <magnolia/error.h>

#include <boost/system/error_code.hpp>

#include <functional>

namespace magnolia {

/// Time for which a start waits for each port.
inline constexpr std::chrono::seconds max_port_wait{60};

/// Error of a listener that could not be opened: connection, with a retry delay if another socket
/// has the port.
/// @param address  what was to be opened, for people.
[[nodiscard]] error listen_failure(const std::string& address,
                                   const boost::system::error_code& failure);

/// Calls `open`, again after the retry delay as long as its error has one. Returns the last result.
/// @param wait  waits for this time; returns false to give up.
[[nodiscard]] result<void>
open_when_free(const logger& log, const std::function<result<void>()>& open,
               const std::function<bool(std::chrono::milliseconds)>& wait);

} // namespace magnolia
