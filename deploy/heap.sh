# Sizes the courier's heap by limits.memory_mb of the configuration file, for `run` in balancer.toml, which sources this.
#
#   heap      the most that it grows to, in MiB
#   initial   what it begins with, in MiB
#
# Only builtins of the shell are used: a courier may not start another process. `read` takes a byte at a time, so the
# file is read no further than the line that has the figure; on a line, it is looked for ahead of the list of endpoints
# ("known"), where the platform writes it. Without a figure, the sizes are the defaults.

# What is not heap: class data, metaspace, compiled code, stacks, symbols and direct buffers. An idle courier has 53 MiB of
# it resident; code that is compiled later and direct buffers (16 MiB at most) come on top.
other=64
# Less than this holds no courier at all.
least=24
heap=64
initial=32

limit=
while IFS= read -r line || [ -n "$line" ]; do
    line=${line%%'"known"'*}
    case $line in
        *'"memory_mb"'*:*)
            limit=${line#*'"memory_mb"'*:}
            break
            ;;
    esac
done 2>/dev/null <"$PROXY_CONFIG"

# A number, or one in quotes; the part behind its point does not matter.
while :; do
    case $limit in
        [[:blank:]\"]*) limit=${limit#?} ;;
        *) break ;;
    esac
done
megabytes=${limit%%[!0-9]*}
case ${limit#"$megabytes"} in
    '' | [].,}\"[:space:]]*) ;;
    *) megabytes= ;;
esac
case $megabytes in
    '' | 0* | ???????*) ;;
    *)
        # From 10^6 bytes to MiB. Memory beyond nine tenths of the limit has its price, so the heap stays below that
        # unless it would be smaller than the default.
        whole=$((megabytes * 15625 / 16384 - other))
        priced=$((megabytes * 15625 * 9 / 163840 - other))
        if [ "$priced" -ge "$heap" ]; then
            heap=$priced
        elif [ "$whole" -lt "$heap" ]; then
            heap=$whole
        fi
        if [ "$heap" -lt "$least" ]; then
            heap=$least
        fi
        if [ "$heap" -lt "$initial" ]; then
            initial=$heap
        fi
        ;;
esac
