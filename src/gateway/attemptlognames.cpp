#include "gateway/attemptlognames.h"

namespace seamarch {

std::string_view logName(HttpCallEnd end)
{
    switch (end) {
    case HttpCallEnd::Complete:
        return "complete";
    case HttpCallEnd::ClosedByPeer:
        return "closed by peer";
    case HttpCallEnd::NotSent:
        return "not sent";
    case HttpCallEnd::ReusedConnectionLost:
        return "kept connection lost";
    case HttpCallEnd::Interrupted:
        return "interrupted";
    case HttpCallEnd::MalformedResponse:
        return "unreadable";
    }
    return "unknown";
}

std::string_view logName(AnswerKind kind)
{
    switch (kind) {
    case AnswerKind::Success:
        return "success";
    case AnswerKind::Failure:
        return "failure";
    case AnswerKind::Full:
        return "full";
    case AnswerKind::WrongInstance:
        return "wrong instance";
    case AnswerKind::Refused:
        return "refused";
    case AnswerKind::Invalid:
        return "invalid";
    }
    return "unknown";
}

} // namespace seamarch
