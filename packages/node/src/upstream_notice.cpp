#include "upstream_notice.hpp"

namespace tamarackhoist::node
{

upstream_notice read_upstream_notice(const transport::http_response& response,
                                     const forward_fields& fields)
{
    upstream_notice notice;
    notice.is_leaving = response[fields.leaving] == "1";
    return notice;
}

} // namespace tamarackhoist::node
