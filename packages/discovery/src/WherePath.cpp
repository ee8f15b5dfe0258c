#include <anvilwalk/discovery/WherePath.h>

namespace anvilwalk {

std::string wherePath(const WhereQuery& query)
{
    return std::string(wherePrefix) + query.client.toString() + "/" + query.service.toString();
}

std::optional<WhereQuery> parseWherePath(std::string_view path)
{
    if (!path.starts_with(wherePrefix))
        return std::nullopt;
    path.remove_prefix(wherePrefix.size());
    const std::size_t slash = path.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto client = Ipv4Endpoint::parse(path.substr(0, slash));
    const auto service = Ipv4Endpoint::parse(path.substr(slash + 1));
    if (!client || !service)
        return std::nullopt;
    return WhereQuery { .client = *client, .service = *service };
}

} // namespace anvilwalk
