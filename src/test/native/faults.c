/*
 * Preloaded into a courier by tests. Makes calls on the state folder and on sockets fail, and steps the wall clock, as set
 * in a shared page of values. FAULTS_PAGE names the file of that page, FAULTS_FOLDER the state folder.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/types.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* Indexes of the values in the page, in the order of FaultPage.Fault. */
enum {
    CLOCK_STEP_S, OPEN_ERRNO, READ_ERRNO, WRITE_ERRNO, WRITE_EFFECT, WRITE_SHORT, RENAME_ERRNO, RENAME_EFFECT,
    TRUNCATE_ERRNO, UNLINK_ERRNO, ACCEPT_ERRNO, CONNECT_ERRNO, CONNECT_EFFECT, SOCKET_ERRNO, BIND_ERRNO, RECEIVE_ERRNO,
    SEND_ERRNO, SEND_EFFECT, SEND_SHORT, SHUTDOWN_ERRNO, CLOSE_ERRNO, POLL_ERRNO, SOCKET_SCOPE, ONE_IN, VALUE_COUNT
};

/* Values of SOCKET_SCOPE: the sockets on which receiving, sending, shutting down and closing may fail. */
enum { ALL_SOCKETS, ACCEPTED_SOCKETS, CONNECTED_SOCKETS };

/* Value of SEND_EFFECT: half of the bytes are sent. Other negative values mean all of them. */
#define HALF_OF_THE_BYTES -2

#define MAX_FILES 4096

static volatile int64_t no_faults[VALUE_COUNT];
static volatile int64_t *page = no_faults;
static const char *folder;
static unsigned char in_folder[MAX_FILES];
/* Whether a socket was accepted or connected, as a value of SOCKET_SCOPE. */
static unsigned char origin[MAX_FILES];
static unsigned calls;

__attribute__((constructor)) static void map_page(void) {
    const char *name = getenv("FAULTS_PAGE");
    folder = getenv("FAULTS_FOLDER");
    if (name == NULL) {
        return;
    }
    int (*real_open)(const char *, int, ...) = dlsym(RTLD_NEXT, "open");
    int file = real_open(name, O_RDONLY);
    void *mapped = mmap(NULL, VALUE_COUNT * sizeof(int64_t), PROT_READ, MAP_SHARED, file, 0);
    if (mapped != MAP_FAILED) {
        page = mapped;
    }
    close(file);
}

/* Hashes the call number: failing every Nth call would always hit the same step of a loop that makes N calls. */
static unsigned hashed(unsigned number) {
    number ^= number >> 16;
    number *= 0x7feb352dU;
    number ^= number >> 15;
    number *= 0x846ca68bU;
    return number ^ number >> 16;
}

/* The error that a call of that kind fails with now, or 0; with ONE_IN set, on average one call in ONE_IN fails. */
static int fault(int kind) {
    int64_t error = page[kind];
    if (error == 0) {
        return 0;
    }
    int64_t one_in = page[ONE_IN];
    return one_in > 1 && hashed(__sync_add_and_fetch(&calls, 1)) % one_in != 0 ? 0 : (int) error;
}

static int is_in_folder(int file) {
    return file >= 0 && file < MAX_FILES && in_folder[file];
}

static int is_path_in_folder(const char *path) {
    return folder != NULL && path != NULL && strncmp(path, folder, strlen(folder)) == 0;
}

#define REAL(type, name, ...) \
    static type (*real)(__VA_ARGS__); \
    if (real == NULL) { \
        real = (type (*)(__VA_ARGS__)) dlsym(RTLD_NEXT, #name); \
    }

#define FAIL(kind) \
    do { \
        int error = fault(kind); \
        if (error != 0) { \
            errno = error; \
            return -1; \
        } \
    } while (0)

#define OPEN(name) \
    int name(const char *path, int flags, ...) { \
        REAL(int, name, const char *, int, ...) \
        va_list rest; \
        va_start(rest, flags); \
        int mode = va_arg(rest, int); \
        va_end(rest); \
        int in_state_folder = is_path_in_folder(path); \
        if (in_state_folder) { \
            FAIL(OPEN_ERRNO); \
        } \
        int file = real(path, flags, mode); \
        if (file >= 0 && file < MAX_FILES) { \
            in_folder[file] = in_state_folder; \
        } \
        return file; \
    }
OPEN(open)
OPEN(open64)

static int is_socket(int file) {
    struct stat status;
    return fstat(file, &status) == 0 && S_ISSOCK(status.st_mode);
}

static void set_origin(int file, int value) {
    if (file >= 0 && file < MAX_FILES) {
        origin[file] = value;
    }
}

/* True for a connection on which calls may fail now. */
static int in_scope(int file) {
    if (file < 0 || file >= MAX_FILES || origin[file] == 0) {
        return 0;
    }
    int64_t scope = page[SOCKET_SCOPE];
    return scope == ALL_SOCKETS || scope == origin[file];
}

/* A descriptor is free after close(), whatever close() returns. */
int close(int file) {
    REAL(int, close, int)
    int fails = page[CLOSE_ERRNO] != 0 && in_scope(file);
    if (file >= 0 && file < MAX_FILES) {
        in_folder[file] = 0;
        origin[file] = 0;
    }
    int result = real(file);
    if (fails) {
        FAIL(CLOSE_ERRNO);
    }
    return result;
}

ssize_t read(int file, void *into, size_t count) {
    REAL(ssize_t, read, int, void *, size_t)
    if (is_in_folder(file)) {
        FAIL(READ_ERRNO);
    } else if (page[RECEIVE_ERRNO] != 0 && (page[SOCKET_SCOPE] == ALL_SOCKETS ? is_socket(file) : in_scope(file))) {
        FAIL(RECEIVE_ERRNO);
    }
    return real(file, into, count);
}

/* How many bytes a send takes: at most SEND_SHORT or, if it fails, as SEND_EFFECT says. */
static size_t bytes_to_send(size_t count, int error) {
    int64_t max_bytes = error != 0 ? page[SEND_EFFECT] : page[SEND_SHORT] > 0 ? page[SEND_SHORT] : (int64_t) count;
    if (max_bytes == HALF_OF_THE_BYTES) {
        return count / 2;
    }
    return max_bytes < 0 || (uint64_t) max_bytes > count ? count : (size_t) max_bytes;
}

ssize_t write(int file, const void *from, size_t count) {
    REAL(ssize_t, write, int, const void *, size_t)
    if (!in_scope(file)) {
        return real(file, from, count);
    }
    int error = fault(SEND_ERRNO);
    size_t some = bytes_to_send(count, error);
    ssize_t result = some > 0 || count == 0 ? real(file, from, some) : 0;
    if (error != 0) {
        errno = error;
        return -1;
    }
    return result;
}

ssize_t writev(int file, const struct iovec *parts, int count) {
    REAL(ssize_t, writev, int, const struct iovec *, int)
    if (!in_scope(file) || (page[SEND_ERRNO] == 0 && page[SEND_SHORT] == 0)) {
        return real(file, parts, count);
    }
    int error = fault(SEND_ERRNO);
    size_t all = 0;
    for (int part = 0; part < count; part++) {
        all += parts[part].iov_len;
    }
    size_t left = bytes_to_send(all, error);
    ssize_t written = 0;
    for (int part = 0; part < count && left > 0; part++) {
        size_t some = parts[part].iov_len < left ? parts[part].iov_len : left;
        struct iovec one = {parts[part].iov_base, some};
        ssize_t result = some > 0 ? real(file, &one, 1) : 0;
        if (result < 0) {
            break;
        }
        written += result;
        left -= some;
        if ((size_t) result < some) {
            break;
        }
    }
    if (error != 0) {
        errno = error;
        return -1;
    }
    if (written == 0 && all > 0) {
        errno = EAGAIN;
        return -1;
    }
    return written;
}

int shutdown(int file, int how) {
    REAL(int, shutdown, int, int)
    if (in_scope(file)) {
        FAIL(SHUTDOWN_ERRNO);
    }
    return real(file, how);
}

int epoll_wait(int poll, struct epoll_event *events, int max_events, int timeout) {
    REAL(int, epoll_wait, int, struct epoll_event *, int, int)
    FAIL(POLL_ERRNO);
    return real(poll, events, max_events, timeout);
}

#define PREAD(name) \
    ssize_t name(int file, void *into, size_t count, off64_t at) { \
        REAL(ssize_t, name, int, void *, size_t, off64_t) \
        if (is_in_folder(file)) { \
            FAIL(READ_ERRNO); \
        } \
        return real(file, into, count, at); \
    }
PREAD(pread)
PREAD(pread64)

/* How many bytes a write takes: at most WRITE_SHORT or, if it fails, as WRITE_EFFECT says. */
static size_t bytes_to_write(size_t count, int error) {
    int64_t max_bytes = error != 0 ? page[WRITE_EFFECT] : page[WRITE_SHORT] > 0 ? page[WRITE_SHORT] : (int64_t) count;
    return max_bytes < 0 || (uint64_t) max_bytes > count ? count : (size_t) max_bytes;
}

#define PWRITE(name) \
    ssize_t name(int file, const void *from, size_t count, off64_t at) { \
        REAL(ssize_t, name, int, const void *, size_t, off64_t) \
        if (!is_in_folder(file)) { \
            return real(file, from, count, at); \
        } \
        int error = fault(WRITE_ERRNO); \
        size_t some = bytes_to_write(count, error); \
        ssize_t result = some > 0 ? real(file, from, some, at) : 0; \
        if (error != 0) { \
            errno = error; \
            return -1; \
        } \
        return result; \
    }
PWRITE(pwrite)
PWRITE(pwrite64)

int rename(const char *from, const char *to) {
    REAL(int, rename, const char *, const char *)
    int error = is_path_in_folder(from) ? fault(RENAME_ERRNO) : 0;
    if (error == 0) {
        return real(from, to);
    }
    if (page[RENAME_EFFECT] != 0) {
        real(from, to);
    }
    errno = error;
    return -1;
}

#define TRUNCATE(name) \
    int name(int file, off64_t size) { \
        REAL(int, name, int, off64_t) \
        if (is_in_folder(file)) { \
            FAIL(TRUNCATE_ERRNO); \
        } \
        return real(file, size); \
    }
TRUNCATE(ftruncate)
TRUNCATE(ftruncate64)

int unlink(const char *path) {
    REAL(int, unlink, const char *)
    if (is_path_in_folder(path)) {
        FAIL(UNLINK_ERRNO);
    }
    return real(path);
}

int accept(int file, struct sockaddr *address, socklen_t *length) {
    REAL(int, accept, int, struct sockaddr *, socklen_t *)
    FAIL(ACCEPT_ERRNO);
    int accepted = real(file, address, length);
    set_origin(accepted, ACCEPTED_SOCKETS);
    return accepted;
}

int accept4(int file, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(int, accept4, int, struct sockaddr *, socklen_t *, int)
    FAIL(ACCEPT_ERRNO);
    int accepted = real(file, address, length, flags);
    set_origin(accepted, ACCEPTED_SOCKETS);
    return accepted;
}

int connect(int file, const struct sockaddr *address, socklen_t length) {
    REAL(int, connect, int, const struct sockaddr *, socklen_t)
    int error = fault(CONNECT_ERRNO);
    if (error != 0 && page[CONNECT_EFFECT] == 0) {
        errno = error;
        return -1;
    }
    int result = real(file, address, length);
    set_origin(file, CONNECTED_SOCKETS);
    if (error != 0) {
        errno = error;
        return -1;
    }
    return result;
}

int socket(int domain, int type, int protocol) {
    REAL(int, socket, int, int, int)
    FAIL(SOCKET_ERRNO);
    return real(domain, type, protocol);
}

int bind(int file, const struct sockaddr *address, socklen_t length) {
    REAL(int, bind, int, const struct sockaddr *, socklen_t)
    FAIL(BIND_ERRNO);
    return real(file, address, length);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(int, clock_gettime, clockid_t, struct timespec *)
    int result = real(clock, now);
    if (result == 0 && clock == CLOCK_REALTIME) {
        now->tv_sec += page[CLOCK_STEP_S];
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    REAL(int, gettimeofday, struct timeval *restrict, void *restrict)
    int result = real(now, zone);
    if (result == 0) {
        now->tv_sec += page[CLOCK_STEP_S];
    }
    return result;
}
