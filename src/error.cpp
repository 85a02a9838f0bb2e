#include <magnolia/error.h>

namespace magnolia {

std::string to_string(const error& failure) {
    std::string text{to_string(failure.code)};
    if (!failure.subject.empty()) {
        text += ": " + failure.subject;
    }
    return text;
}

} // namespace magnolia
