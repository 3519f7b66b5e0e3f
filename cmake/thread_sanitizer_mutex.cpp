// Shows the thread sanitizer the locks of absl, which gRPC uses. They are
// futexes in libraries built without the sanitizer, so without this each
// object that gRPC hands from one thread to another is reported as a race.
// These definitions in the executable take precedence over those of the
// library, call them, and pass on exactly the order that the lock gives.
// Linked into programs that are built with TQ_SANITIZE=thread only.

#include <dlfcn.h>
#include <sanitizer/tsan_interface.h>

#include <string>

#include <absl/synchronization/mutex.h>

#define TQ_TEXT_OF(name) #name
#define TQ_TEXT(name) TQ_TEXT_OF(name)
// The inline namespace is part of the symbol, as in "8debian3".
#define TQ_MANGLED(rest)                                                       \
    ("_ZN4absl" +                                                              \
        std::to_string(                                                        \
            sizeof(TQ_TEXT(ABSL_OPTION_INLINE_NAMESPACE_NAME)) - 1) +          \
        TQ_TEXT(ABSL_OPTION_INLINE_NAMESPACE_NAME) rest)

namespace
{

// The library's own definition of a symbol.
template <class Function>
Function* original(const std::string& symbol)
{
    auto* found = dlsym(RTLD_NEXT, symbol.c_str());
    if (found == nullptr)
        __builtin_trap();
    return reinterpret_cast<Function*>(found);
}

} // namespace

namespace absl
{
ABSL_NAMESPACE_BEGIN

void Mutex::Lock()
{
    static auto* const call =
        original<void(Mutex*)>(TQ_MANGLED("5Mutex4LockEv"));
    call(this);
    __tsan_acquire(this);
}

void Mutex::Unlock()
{
    static auto* const call =
        original<void(Mutex*)>(TQ_MANGLED("5Mutex6UnlockEv"));
    __tsan_release(this);
    call(this);
}

bool Mutex::TryLock()
{
    static auto* const call =
        original<bool(Mutex*)>(TQ_MANGLED("5Mutex7TryLockEv"));
    const bool locked = call(this);
    if (locked)
        __tsan_acquire(this);
    return locked;
}

// A wait releases and takes the lock inside the library.
void CondVar::Wait(Mutex* mutex)
{
    static auto* const call = original<void(CondVar*, Mutex*)>(
        TQ_MANGLED("7CondVar4WaitEPNS0_5MutexE"));
    __tsan_release(mutex);
    call(this, mutex);
    __tsan_acquire(mutex);
}

bool CondVar::WaitWithTimeout(Mutex* mutex, Duration timeout)
{
    static auto* const call = original<bool(CondVar*, Mutex*, Duration)>(
        TQ_MANGLED("7CondVar15WaitWithTimeoutEPNS0_5MutexENS0_8DurationE"));
    __tsan_release(mutex);
    const bool expired = call(this, mutex, timeout);
    __tsan_acquire(mutex);
    return expired;
}

bool CondVar::WaitWithDeadline(Mutex* mutex, Time deadline)
{
    static auto* const call = original<bool(CondVar*, Mutex*, Time)>(
        TQ_MANGLED("7CondVar16WaitWithDeadlineEPNS0_5MutexENS0_4TimeE"));
    __tsan_release(mutex);
    const bool expired = call(this, mutex, deadline);
    __tsan_acquire(mutex);
    return expired;
}

ABSL_NAMESPACE_END
} // namespace absl
