/// Answers the reads of the store that other hosts make (store_reader) from what this host's
/// watchers have.
#pragma once

#include "http_server.h"
#include "object_watcher.h"

#include <list>

namespace magnolia {

/// Owned by the gateway. Not thread-safe. A watch waits here until there is a change or its time is
/// over, as it would at the store.
class object_relay {
public:
    /// @param confirmed_at  last moment at which the watcher's view was confirmed, by anyone.
    void add(const object_watcher& watcher, std::function<time_point()> confirmed_at);
    /// Answers the request, now or later, if it is such a read; returns whether it is.
    bool handle(const http_request& request, const http_responder& responder);
    /// The watcher has a list or a change, for which reads wait.
    void on_advance() { has_advanced_ = true; }
    /// Answers the reads that wait for what has come since the last call, those whose time is over,
    /// and, once the store is lost, those that want to know. To be called a few times a second:
    /// changes often come in series, and each answer makes a host read again.
    void flush(time_point now);
    /// Refuses all reads from now on: this host ends.
    void close();
    /// Reads that wait.
    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }

private:
    struct source {
        const object_watcher* watcher = nullptr;
        std::function<time_point()> confirmed_at;
    };
    struct waiting_read {
        const source* from = nullptr;
        platform_call call;
        http_responder responder;
        time_point deadline{};
        bool reports_loss = false;
    };

    /// Reply to the call as of now; absent if it has to wait.
    [[nodiscard]] static std::optional<platform_reply>
    reply_to(const source& from, const platform_call& call, bool is_time_over);
    static void send(const source& from, const platform_reply& reply,
                     const http_responder& responder);
    static void refuse(const http_responder& responder);

    std::list<source> sources_;
    std::list<waiting_read> waiting_;
    bool has_advanced_ = false;
    bool is_closed_ = false;
};

} // namespace magnolia
