/// Program that collects the events of all processes, merges them into one timeline, and serves it
/// over HTTP.
#include "event_collector.h"
#include "http_server.h"
#include "io_thread.h"
#include "process.h"
#include "timeline_view.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace {

using namespace magnolia;

timeline_filter parse_filter(const http_request& request) {
    timeline_filter filter{.request = query_parameter(request.target, "request"),
                           .workspace = query_parameter(request.target, "workspace"),
                           .host = query_parameter(request.target, "host")};
    const auto limit = query_parameter(request.target, "limit");
    std::from_chars(limit.data(), limit.data() + limit.size(), filter.limit);
    return filter;
}

http_response text_response(std::string type, std::string body) {
    return {.status = 200, .headers = {{"Content-Type", std::move(type)}}, .body = std::move(body)};
}

http_response clocks_response(const timeline& merged) {
    auto list = nlohmann::json::array();
    for (const auto& [run, offset] : merged.offsets()) {
        list.push_back({{"host", run.host}, {"boot", run.boot}, {"offset_us", offset}});
    }
    return json_response(
        200,
        nlohmann::json{{"clocks", list}, {"events", merged.size()}, {"missing", merged.missing()}}
            .dump());
}

http_response handle_query(const timeline& merged, const http_request& request) {
    const auto path = target_path(request.target);
    if (request.method != "GET") {
        return error_response({error_code::bad_request, "the only supported method is GET"});
    }
    if (path == "/clocks") {
        return clocks_response(merged);
    }
    if (path == "/timeline.svg") {
        return text_response("image/svg+xml", timeline_svg(merged.ordered(parse_filter(request))));
    }
    if (path != "/events") {
        return error_response(
            {error_code::not_found, "unknown path; available: /events, /timeline.svg, /clocks"});
    }
    const auto events = merged.ordered(parse_filter(request));
    return query_parameter(request.target, "format") == "json"
               ? json_response(200, timeline_json(events))
               : text_response("text/plain; charset=utf-8", timeline_text(events));
}

result<void> run(process& running, const timeline_settings& settings) {
    timeline merged{settings.max_events};
    io_thread collector_thread{"gather"};
    event_collector collector{collector_thread.context(), running.metrics(),
                              [&merged](timeline_event event) { merged.add(std::move(event)); }};
    http_server queries{collector_thread.context(),
                        {.max_body_bytes = 0},
                        [&merged](const http_request& request, const http_responder& responder) {
                            responder.send(handle_query(merged, request));
                        }};
    const auto opened =
        collector.listen(settings.listen).and_then([&] { return queries.listen(settings.query); });
    if (!opened) {
        return opened;
    }
    collector_thread.start();
    running.set_ready(true);
    running.wait_for_stop();
    collector_thread.stop();
    return {};
}

} // namespace

int main(int argc, char** argv) {
    return run_program<timeline_settings>(
        argc, argv,
        {"magnolia-timeline", "Collects the events of all processes into one timeline.\n\n"
                              "GET /events?request=&workspace=&host=&limit=&format=text|json\n"
                              "GET /timeline.svg with the same filters\n"
                              "GET /clocks for clock offsets and the number of missing events"},
        run);
}
