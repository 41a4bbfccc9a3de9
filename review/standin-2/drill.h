// Stand-ins for the platform's store, replicas and clients of the review's scripts, over blocking sockets on loopback.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace Drill
{

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;
using nlohmann::json;

inline Clock::time_point &startTime()
{
    static Clock::time_point start = Clock::now();
    return start;
}

inline double seconds()
{
    return std::chrono::duration<double>(Clock::now() - startTime()).count();
}

inline void sleepMs(int ms)
{
    std::this_thread::sleep_for(Ms(ms));
}

/** Writes what was sent, answered and run, with the seconds since the start. */
class Record
{
public:
    static Record &instance()
    {
        static Record record;
        return record;
    }

    void open(const std::string &path)
    {
        m_out.open(path);
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f ", seconds());
        m_out << time << text << '\n' << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

inline void record(const std::string &text)
{
    Record::instance().line(text);
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

/** One HTTP message, either a request or a response. */
struct Message
{
    std::string first; ///< request or status line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool isComplete = false;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (lower(key) == lower(name)) {
                return value;
            }
        }
        return {};
    }

    std::string method() const
    {
        return first.substr(0, first.find(' '));
    }

    std::string target() const
    {
        const auto begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }

    std::string path() const
    {
        const auto all = target();
        return all.substr(0, all.find('?'));
    }

    std::string query(const std::string &name) const
    {
        const auto all = target();
        const auto mark = all.find('?');
        std::stringstream pairs(mark == std::string::npos ? "" : all.substr(mark + 1));
        std::string pair;
        while (std::getline(pairs, pair, '&')) {
            if (pair.compare(0, name.size() + 1, name + "=") == 0) {
                return pair.substr(name.size() + 1);
            }
        }
        return {};
    }

    int status() const
    {
        return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
    }
};

/** A connected socket with a read buffer. */
class Connection
{
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    ~Connection()
    {
        ::close(m_fd);
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::unique_ptr<Connection> open(int port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (fd < 0 || ::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
            if (fd >= 0) {
                ::close(fd);
            }
            return nullptr;
        }
        return std::make_unique<Connection>(fd);
    }

    int fd() const
    {
        return m_fd;
    }

    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const auto sent = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /** Resets the connection, as the end of a process with unread bytes does. */
    void reset()
    {
        sockaddr none{};
        none.sa_family = AF_UNSPEC;
        ::connect(m_fd, &none, sizeof none);
    }

    /** Waits for bytes or the end. Returns whether something can be read. */
    bool waitReadable(int timeoutMs)
    {
        pollfd wait{m_fd, POLLIN, 0};
        return !m_buffer.empty() || ::poll(&wait, 1, timeoutMs) > 0;
    }

    /** Reads a message. Returns nothing at the end of the connection before a first byte, or at the timeout. */
    std::optional<Message> read(int timeoutMs, bool isResponse, bool isHead = false)
    {
        const auto end = Clock::now() + Ms(timeoutMs);
        std::size_t headEnd = 0;
        while ((headEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(end)) {
                return std::nullopt;
            }
        }
        Message message;
        std::stringstream lines(m_buffer.substr(0, headEnd));
        m_buffer.erase(0, headEnd + 4);
        std::string line;
        std::getline(lines, message.first);
        if (!message.first.empty() && message.first.back() == '\r') {
            message.first.pop_back();
        }
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(':');
            auto value = colon == std::string::npos ? "" : line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(" \t"));
            message.headers.emplace_back(line.substr(0, colon), value);
        }
        if (isHead || (isResponse && (message.status() == 204 || message.status() == 304))) {
            message.isComplete = true;
            return message;
        }
        if (lower(message.header("Transfer-Encoding")) == "chunked") {
            message.isComplete = readChunks(message.body, end);
        } else if (const auto length = message.header("Content-Length"); !length.empty()) {
            const auto size = static_cast<std::size_t>(std::strtoull(length.c_str(), nullptr, 10));
            while (m_buffer.size() < size && fill(end)) {
            }
            message.isComplete = m_buffer.size() >= size;
            message.body = m_buffer.substr(0, size);
            m_buffer.erase(0, size);
        } else if (isResponse) {
            while (fill(end)) {
            }
            message.body = std::exchange(m_buffer, {});
            message.isComplete = m_isEnded;
        } else {
            message.isComplete = true;
        }
        return message;
    }

private:
    bool fill(Clock::time_point end)
    {
        const auto left = std::chrono::duration_cast<Ms>(end - Clock::now()).count();
        pollfd wait{m_fd, POLLIN, 0};
        if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char bytes[65536];
        const auto size = ::recv(m_fd, bytes, sizeof bytes, 0);
        m_isEnded = size == 0;
        if (size <= 0) {
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    bool readChunks(std::string &body, Clock::time_point end)
    {
        while (true) {
            std::size_t lineEnd = 0;
            while ((lineEnd = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(end)) {
                    return false;
                }
            }
            const auto size = std::strtoull(m_buffer.c_str(), nullptr, 16);
            while (m_buffer.size() < lineEnd + 4 + size) {
                if (!fill(end)) {
                    body += m_buffer.substr(std::min(m_buffer.size(), lineEnd + 2));
                    return false;
                }
            }
            body += m_buffer.substr(lineEnd + 2, size);
            m_buffer.erase(0, lineEnd + 4 + size);
            if (size == 0) {
                return true;
            }
        }
    }

    int m_fd;
    std::string m_buffer;
    bool m_isEnded = false;
};

/** Listens on a free loopback port; one thread a connection. */
class Server
{
public:
    using Serve = std::function<void(const std::shared_ptr<Connection> &)>;

    explicit Server(Serve serve)
        : m_serve(std::move(serve))
    {
        listen();
    }

    ~Server()
    {
        close();
    }

    int port() const
    {
        return m_port;
    }

    /** Listens, on the earlier port if there was one. */
    bool listen()
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(m_port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
            || ::listen(m_listener, 512) != 0) {
            ::close(m_listener);
            m_listener = -1;
            return false;
        }
        socklen_t size = sizeof address;
        ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_acceptor = std::thread([this, listener = m_listener] { accept(listener); });
        return true;
    }

    /** Stops listening and resets all connections. */
    void close()
    {
        if (m_listener >= 0) {
            ::shutdown(m_listener, SHUT_RDWR);
            m_acceptor.join();
            ::close(m_listener);
            m_listener = -1;
        }
        const std::lock_guard lock(m_mutex);
        for (const auto &entry : m_connections) {
            if (const auto connection = entry.lock()) {
                connection->reset();
            }
        }
        m_connections.clear();
    }

private:
    void accept(int listener)
    {
        while (true) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            const auto connection = std::make_shared<Connection>(fd);
            {
                const std::lock_guard lock(m_mutex);
                m_connections.erase(std::remove_if(m_connections.begin(), m_connections.end(),
                                                   [](const auto &entry) { return entry.expired(); }),
                                    m_connections.end());
                m_connections.push_back(connection);
            }
            std::thread([serve = m_serve, connection] { serve(connection); }).detach();
        }
    }

    Serve m_serve;
    int m_listener = -1;
    int m_port = 0;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::vector<std::weak_ptr<Connection>> m_connections;
};

inline std::string response(int status, const std::string &body, const std::string &headers = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

inline std::string chunk(const std::string &text)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

/** Returns the headers of a stream that describe its prompt. */
inline std::string streamHeaders(const std::string &parts)
{
    return "X-Heatherridge-Model: m\r\nX-Heatherridge-Token-Usage: 714,140\r\nX-Heatherridge-Prompt-Prefix: " + parts
        + "\r\n";
}

inline std::string base64(const std::string &bytes)
{
    static const char *alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            value = (value << 8U) | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += i + k <= bytes.size() ? alphabet[(value >> (18 - 6 * k)) & 63U] : '=';
        }
    }
    return text;
}

/** The platform's metadata store, as a log. One door (port) for each machine, so that single machines can be refused.
 */
class Store
{
public:
    enum class Door { Open, Busy, Reset, Silent };

    int addDoor()
    {
        const auto index = m_doors.size();
        m_doors.push_back(std::make_unique<std::atomic<Door>>(Door::Open));
        m_servers.push_back(
            std::make_unique<Server>([this, index](const auto &connection) { serve(connection, index); }));
        return m_servers.back()->port();
    }

    void setDoor(std::size_t index, Door door)
    {
        *m_doors[index] = door;
    }

    void setAllDoors(Door door)
    {
        for (auto &entry : m_doors) {
            *entry = door;
        }
    }

    /** Writes the newest record of @p key; without a value the key is dropped. */
    void put(const std::string &topic, const std::string &key, const std::optional<std::string> &value)
    {
        std::string raw(1, static_cast<char>(key.size()));
        raw += key;
        raw += value.value_or("");
        append(topic, 0, {raw});
    }

private:
    struct Partition
    {
        std::vector<std::string> records;
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
    };

    struct Member
    {
        Clock::time_point lastJoin;
        int ttlMs = 0;
        std::vector<std::string> topics;
    };

    struct Group
    {
        std::uint64_t generation = 0;
        std::map<std::string, Member> members;
        std::map<std::pair<std::string, int>, std::string> owners;
    };

    std::uint64_t append(const std::string &topic, int part, const std::vector<std::string> &records)
    {
        const std::lock_guard lock(m_mutex);
        auto &partition = m_partitions[{topic, part}];
        const auto first = partition.records.size();
        for (const auto &record : records) {
            if (topic.compare(0, 6, "keyed.") == 0 && !record.empty()) {
                const auto size = static_cast<unsigned char>(record[0]);
                const auto key = record.substr(1, size);
                if (record.size() > 1U + size) {
                    partition.newest[key] = {record.substr(1 + size), partition.records.size()};
                } else {
                    partition.newest.erase(key);
                }
            }
            partition.records.push_back(record);
        }
        m_changed.notify_all();
        return first;
    }

    static std::string bigEndian(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int i = bytes - 1; i >= 0; --i) {
            text += static_cast<char>((value >> (8 * i)) & 0xff);
        }
        return text;
    }

    void serve(const std::shared_ptr<Connection> &connection, std::size_t door)
    {
        while (const auto request = connection->read(120'000, false)) {
            if (!request->isComplete) {
                return;
            }
            sleepMs(2);
            if (*m_doors[door] == Door::Open) {
                const auto answer = handle(*request);
                if (*m_doors[door] == Door::Open) {
                    if (!connection->send(answer)) {
                        return;
                    }
                    continue;
                }
            }
            if (*m_doors[door] == Door::Busy) {
                if (!connection->send(response(503, "{}", "Store-Era: 1\r\n"))) {
                    return;
                }
            } else if (*m_doors[door] == Door::Reset) {
                connection->reset();
                return;
            } else {
                while (*m_doors[door] == Door::Silent) { // the answer is lost
                    sleepMs(50);
                }
                return;
            }
        }
    }

    static std::string ok(const json &body)
    {
        return response(200, body.dump(), "Content-Type: application/json\r\nStore-Era: 1\r\n");
    }

    std::string handle(const Message &request)
    {
        const auto path = request.path();
        const auto topic = request.query("topic");
        const int part = std::atoi(request.query("part").c_str());
        if (path == "/api/log-append") {
            std::vector<std::string> records;
            std::string_view rest = request.body;
            while (rest.size() >= 4) {
                std::size_t size = 0;
                for (int i = 0; i < 4; ++i) {
                    size = (size << 8U) | static_cast<unsigned char>(rest[static_cast<std::size_t>(i)]);
                }
                records.emplace_back(rest.substr(4, size));
                rest.remove_prefix(std::min(rest.size(), 4 + size));
            }
            const auto first = append(topic, part, records);
            return ok({{"offset", first}, {"end", first + records.size()}});
        }
        if (path == "/api/log-read") {
            return readLog(topic, part, std::strtoull(request.query("from").c_str(), nullptr, 10),
                           std::atoi(request.query("waitMs").c_str()));
        }
        if (path == "/api/log-newest") {
            const std::lock_guard lock(m_mutex);
            const auto &partition = m_partitions[{topic, part}];
            auto items = json::array();
            for (const auto &[key, entry] : partition.newest) {
                items.push_back({{"key", key}, {"value", base64(entry.first)}, {"offset", entry.second}});
            }
            return ok({{"items", items}, {"hasMore", false}, {"end", partition.records.size()}});
        }
        const auto body = json::parse(request.body, nullptr, false);
        if (path == "/api/log-join" && body.is_object()) {
            return join(body);
        }
        if (path == "/api/log-leave" && body.is_object()) {
            const std::lock_guard lock(m_mutex);
            auto &group = m_groups[body["group"]];
            group.members.erase(body["member"].get<std::string>());
            assign(group);
            return ok(json::object());
        }
        return response(404, "{}", "Store-Era: 1\r\n");
    }

    std::string readLog(const std::string &topic, int part, std::uint64_t from, int waitMs)
    {
        std::unique_lock lock(m_mutex);
        auto &partition = m_partitions[{topic, part}];
        m_changed.wait_for(lock, Ms(waitMs), [&] { return partition.records.size() > from; });
        std::string body = bigEndian(partition.records.size(), 8) + bigEndian(0, 8);
        for (auto i = from; i < partition.records.size(); ++i) {
            body += bigEndian(partition.records[i].size(), 4) + partition.records[i];
        }
        return response(200, body, "Store-Era: 1\r\n");
    }

    /** Deals the partitions evenly; a partition stays with its member where that is possible. */
    void assign(Group &group)
    {
        std::map<std::string, std::set<std::string>> byTopic;
        for (const auto &[name, member] : group.members) {
            for (const auto &topic : member.topics) {
                byTopic[topic].insert(name);
            }
        }
        std::map<std::pair<std::string, int>, std::string> owners;
        for (const auto &[topic, names] : byTopic) {
            std::vector<std::string> members(names.begin(), names.end());
            for (int part = 0; part < Partitions; ++part) {
                owners[{topic, part}] = members[static_cast<std::size_t>(part) % members.size()];
            }
        }
        if (owners != group.owners) {
            group.owners = owners;
            ++group.generation;
        }
    }

    std::string join(const json &body)
    {
        const std::lock_guard lock(m_mutex);
        auto &group = m_groups[body["group"]];
        const auto now = Clock::now();
        for (auto member = group.members.begin(); member != group.members.end();) {
            const bool isGone = now - member->second.lastJoin > Ms(member->second.ttlMs);
            member = isGone ? group.members.erase(member) : std::next(member);
        }
        const auto name = body["member"].get<std::string>();
        group.members[name] = {now, body["ttlMs"].get<int>(), body["topics"].get<std::vector<std::string>>()};
        assign(group);
        auto parts = json::array();
        for (const auto &[key, owner] : group.owners) {
            if (owner == name) {
                parts.push_back({key.first, key.second, 0});
            }
        }
        return ok({{"generation", group.generation}, {"ttlMs", body["ttlMs"]}, {"parts", parts}});
    }

    static constexpr int Partitions = 12;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::pair<std::string, int>, Partition> m_partitions;
    std::map<std::string, Group> m_groups;
    std::vector<std::unique_ptr<std::atomic<Door>>> m_doors;
    std::vector<std::unique_ptr<Server>> m_servers;
};

/** Returns a free port. Nobody else is given it while the script runs: a socket that does not listen stays bound to it.
 */
inline int freePort()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address);
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

/** The settings of one gateway machine. */
struct GatewaySettings
{
    std::string name = "front-a-1";
    std::string zone = "a";
    int storePort = 0;
    std::string furtherLines{}; ///< of the settings file
};

/** A gateway process of the project, with the settings that the deploy file's template gives. */
class Gateway
{
public:
    Gateway(const std::string &program, const std::string &folder, GatewaySettings settings)
        : m_program(program)
        , m_settings(std::move(settings))
        , m_file(folder + "/" + m_settings.name + ".conf")
        , m_log(folder + "/" + m_settings.name + ".log")
        , port(freePort())
        , readyPort(freePort())
    {
        const int metrics = freePort();
        std::ofstream out(m_file);
        out << "[gateway]\nname = " << m_settings.name << "\nzone = " << m_settings.zone
            << "\nlisten = 127.0.0.1:" << port << "\nready-listen = 127.0.0.1:" << readyPort
            << "\nready-path = /api/readyz\nmetrics-listen = 127.0.0.1:" << metrics
            << "\nlog-service = 127.0.0.1:" << m_settings.storePort
            << "\ngrace = 8\nretry-share = 0.2\nretry-slack = 88\nretry-window = 10\nwithdrawal = 2000\n"
               "config-time = 2000\nsilence = 3000\nlink-mbps = 1000.0\ncpu-share = 0.19\nlog-partitions = 12\n"
               "zone-regions = a:r,b:r,c:r\nmemory-mb = 260\nmax-descriptors = 4200\nsidecar-port = "
            << freePort() << "\nlog-stream = standard-output\n"
            << m_settings.furtherLines;
    }

    ~Gateway()
    {
        kill(SIGKILL);
    }

    void start()
    {
        m_id = ::fork();
        if (m_id == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the script, however that ends
            const int out = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execl(m_program.c_str(), m_program.c_str(), "--config", m_file.c_str(), nullptr);
            ::_exit(127);
        }
    }

    bool isReady() const
    {
        const auto connection = Connection::open(readyPort);
        if (!connection || !connection->send("GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")) {
            return false;
        }
        const auto answer = connection->read(1'000, true);
        return answer && answer->status() == 200;
    }

    bool waitReady(int timeoutMs)
    {
        const auto end = Clock::now() + Ms(timeoutMs);
        while (Clock::now() < end) {
            if (isReady()) {
                return true;
            }
            sleepMs(50);
        }
        return false;
    }

    void signal(int number) const
    {
        if (m_id > 0) {
            ::kill(m_id, number);
        }
    }

    /** Returns the exit status if the process has ended. */
    std::optional<int> ended()
    {
        int status = 0;
        if (m_id > 0 && ::waitpid(m_id, &status, WNOHANG) == m_id) {
            m_id = -1;
            return status;
        }
        return std::nullopt;
    }

    void kill(int number)
    {
        if (m_id > 0) {
            ::kill(m_id, number);
            ::kill(m_id, SIGCONT);
            ::waitpid(m_id, nullptr, 0);
            m_id = -1;
        }
    }

private:
    std::string m_program;
    GatewaySettings m_settings;
    std::string m_file;
    std::string m_log;
    int m_id = -1;

public:
    int port;
    int readyPort;
};

inline std::int64_t wallMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/** One replica of a plain service: registers, runs requests in threads, and can crash and come back. */
class Replica
{
public:
    struct Run
    {
        std::string id;
        double at = 0;
        std::string path;
    };

    using Handle = std::function<void(Replica &, const std::shared_ptr<Connection> &, const Message &)>;

    Replica(Store &store, std::string name, std::string service, std::string zone, Handle handle)
        : m_store(store)
        , name(std::move(name))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_handle(std::move(handle))
        , m_born(wallMs())
        , m_server([this](const auto &connection) { serve(connection); })
    {
        beat();
    }

    /** Writes the entry of the register. */
    void beat(const std::string &state = "ready", int coldMs = 0)
    {
        const json entry{{"service", m_service}, {"address", "127.0.0.1:" + std::to_string(m_server.port())},
                         {"zone", m_zone},       {"version", "v1"},
                         {"slots", slots},       {"state", state},
                         {"coldMs", coldMs},     {"sequence", ++m_sequence},
                         {"born", m_born}};
        m_store.put("keyed.servers", name, entry.dump());
    }

    void remove()
    {
        m_store.put("keyed.servers", name, std::nullopt);
    }

    /** The process ends: connections are reset and the port refuses. */
    void crash()
    {
        isDown = true;
        m_server.close();
    }

    /** Listens again, still the same process. */
    void heal()
    {
        for (int i = 0; i < 100 && !m_server.listen(); ++i) {
            sleepMs(20);
        }
        isDown = false;
    }

    /** Starts again under the same id and address. */
    void restart()
    {
        m_born = wallMs();
        m_sequence = 0;
        heal();
    }

    int port() const
    {
        return m_server.port();
    }

    const std::string &zone() const
    {
        return m_zone;
    }

    /** Returns the headers that every answer of the replica has. */
    std::string headers(const Message &request) const
    {
        return "X-Heatherridge-Request-Id: " + request.header("X-Heatherridge-Request-Id")
            + "\r\nX-Heatherridge-Server-Load: " + std::to_string(running.load()) + ",0," + std::to_string(slots)
            + "\r\n";
    }

    static std::string signature(const Message &request)
    {
        return "X-Heatherridge-Response-Signature: s." + request.header("X-Heatherridge-Request-Id") + "\r\n";
    }

    std::atomic<bool> isDown{false};
    std::atomic<int> running{0};
    int slots = 6;

private:
    void serve(const std::shared_ptr<Connection> &connection)
    {
        while (auto request = connection->read(15'000, false)) {
            if (!request->isComplete || isDown) {
                return;
            }
            if (const auto expected = request->header("X-Heatherridge-Expect-Instance");
                !expected.empty() && expected != name) {
                connection->send(response(421, "", headers(*request) + "X-Heatherridge-Instance-Id: " + name + "\r\n"));
                continue;
            }
            m_handle(*this, connection, *request);
        }
    }

    Store &m_store;

public:
    const std::string name;

private:
    std::string m_service;
    std::string m_zone;
    Handle m_handle;
    std::int64_t m_born;
    std::atomic<int> m_sequence{0};
    Server m_server;
};

/** A route of the configuration. */
inline json route(const std::string &name, const std::string &prefix, const std::string &kind,
                  const std::string &service, int timeoutMs = 800, int objectiveMs = 300, int attempts = 1)
{
    json route{{"name", name},      {"host", "desk.example"},  {"pathPrefix", prefix},
               {"kind", kind},      {"timeoutMs", timeoutMs},  {"targetLatencyMs", objectiveMs},
               {"priority", 2},     {"maxAttempts", attempts}, {"public", false},
               {"service", service}};
    if (kind == "streaming") {
        route["resumable"] = true;
        route["gapAimMs"] = 120;
    }
    return route;
}

inline json service(const std::string &name, int maxConnections)
{
    json service;
    service["name"] = name;
    service["healthPath"] = "/healthz";
    service["maxConns"] = maxConnections;
    service["protocol"] = "h1";
    service["tls"] = false;
    return service;
}

inline json tenant(const std::string &name, const std::string &key)
{
    json tenant;
    tenant["name"] = name;
    tenant["apiKeys"] = json::array({key});
    return tenant;
}

inline json limits()
{
    return {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
}

inline std::string newId()
{
    static std::mutex mutex;
    static std::mt19937_64 random{std::random_device{}()};
    const std::lock_guard lock(mutex);
    char text[32];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

/** A client of one gateway with one kept connection. */
class Client
{
public:
    Client(int port, std::string key)
        : m_port(port)
        , m_key(std::move(key))
    {
    }

    /** Sends a request and waits for its answer. Returns its status; 0 if the connection ended or timed out. */
    int call(const std::string &method, const std::string &path, const std::string &body, std::string id,
             int deadlineMs, const std::string &headers = {})
    {
        if (!m_connection) {
            m_connection = Connection::open(m_port);
        }
        if (!m_connection) {
            return 0;
        }
        std::string text = method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Heatherridge-Request-Id: " + id
            + "\r\nX-Heatherridge-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Bearer " + m_key
            + "\r\n" + headers;
        if (!body.empty() || method == "POST") {
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        text += "\r\n" + body;
        if (!m_connection->send(text)) {
            m_connection.reset();
            return 0;
        }
        last = m_connection->read(deadlineMs, true);
        if (!last || !last->isComplete || lower(last->header("Connection")) == "close") {
            m_connection.reset();
        }
        return last && last->isComplete ? last->status() : 0;
    }

    std::optional<Message> last;

private:
    int m_port;
    std::string m_key;
    std::unique_ptr<Connection> m_connection;
};

/** A store, plain replicas that beat, and four gateways in three availability zones. */
class Deployment
{
public:
    /** How long after a crash a replica is back, and how long after its last beat the store drops its entry. */
    static constexpr int DownMs = 3000;
    static constexpr int ExpiryMs = 3600;
    static constexpr int HeartbeatMs = 1200;

    /** @param furtherLines of the settings of each gateway */
    Deployment(const std::string &program, const std::string &folder, const std::string &furtherLines = {})
    {
        for (const auto *const zone : {"a", "a", "b", "c"}) {
            const auto number = std::to_string(gateways.size() + 1);
            gateways.push_back(std::make_unique<Gateway>(program, folder,
                                                         GatewaySettings{.name = "front-" + number,
                                                                         .zone = zone,
                                                                         .storePort = store.addDoor(),
                                                                         .furtherLines = furtherLines}));
        }
    }

    /** Writes a configuration. */
    void configure(int version, const json &routes, const json &services, const json &tenants)
    {
        const json config{{"version", version},
                          {"routes", routes},
                          {"services", services},
                          {"limits", limits()},
                          {"tenants", tenants}};
        store.put("keyed.op", "config", config.dump());
        record("configuration " + std::to_string(version) + " acknowledged");
    }

    Replica &addReplica(const std::string &service, const std::string &zone, const Replica::Handle &handle)
    {
        const std::lock_guard lock(m_mutex);
        replicas.push_back(std::make_unique<Replica>(store, "i-" + std::to_string(++m_lastId), service, zone, handle));
        return *replicas.back();
    }

    /** Starts the gateways and the beats. Returns whether all gateways are ready. */
    bool start()
    {
        std::thread([this] {
            while (true) {
                sleepMs(HeartbeatMs);
                const std::lock_guard lock(m_mutex);
                for (const auto &replica : replicas) {
                    if (!replica->isDown) {
                        replica->beat();
                    }
                }
            }
        }).detach();
        for (const auto &gateway : gateways) {
            gateway->start();
        }
        return std::all_of(gateways.begin(), gateways.end(),
                           [](const auto &gateway) { return gateway->waitReady(20'000); });
    }

    /** Ends the process of @p replica. It starts again under the same id and address. */
    void crash(Replica &replica, int downMs = DownMs)
    {
        if (replica.isDown.exchange(true)) {
            return;
        }
        record("crash of " + replica.name);
        std::thread([&replica, downMs] {
            replica.crash();
            sleepMs(downMs);
            replica.restart();
            replica.beat();
            record(replica.name + " is back");
        }).detach();
    }

    /** Cuts the links between @p replica and the gateways: what is open is reset, and new connections are refused. */
    void cut(Replica &replica, int forMs)
    {
        record("cut of " + replica.name);
        replica.isDown = true;
        replica.crash();
        sleepMs(forMs);
        replica.heal();
        record("the cut of " + replica.name + " has healed");
    }

    /** Ends the process of @p replica. Another one with a new id and address takes its place. */
    void crashForGood(Replica &replica, const std::string &service, const Replica::Handle &handle)
    {
        if (replica.isDown.exchange(true)) {
            return;
        }
        record("crash of " + replica.name);
        std::thread([this, &replica, service, handle] {
            replica.crash();
            sleepMs(DownMs);
            record(addReplica(service, replica.zone(), handle).name + " takes the place of " + replica.name);
            sleepMs(ExpiryMs - DownMs);
            replica.remove();
        }).detach();
    }

    Store store;
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::vector<std::unique_ptr<Replica>> replicas; ///< also those that have ended

private:
    std::mutex m_mutex;
    int m_lastId = 0;
};

/** Ends the gateways and the script. @param status 0: the rule held, 1: it was broken, 2: the case could not run */
[[noreturn]] inline void finish(Deployment &deployment, int status, const std::string &text)
{
    record(text);
    std::cout << text << std::endl;
    for (const auto &gateway : deployment.gateways) {
        gateway->kill(SIGKILL);
    }
    std::_Exit(status);
}

} // namespace Drill
