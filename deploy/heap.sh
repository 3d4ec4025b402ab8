# Computes the courier's heap sizes from limits.memory_mb of the configuration file. `run` in balancer.toml sources it.
#
#   heap      maximum heap size, in MiB
#   initial   initial heap size, in MiB
#
# Only shell builtins are used: a courier may not start another process. `read` reads one byte at a time, so the file is
# read only up to the line that has the value. On a line, the value is searched before the list of endpoints ("known"),
# where the platform writes it. Without a value, the defaults apply.

# Memory outside the heap: class data, metaspace, compiled code, stacks, symbols and direct buffers. An idle courier has
# 53 MiB of it resident; code that is compiled later and direct buffers (16 MiB at most) come on top.
non_heap_mib=64
# A courier does not run with a smaller heap.
min_heap_mib=24
heap=64
initial=32

value=
while IFS= read -r line || [ -n "$line" ]; do
    line=${line%%'"known"'*}
    case $line in
        *'"memory_mb"'*:*)
            value=${line#*'"memory_mb"'*:}
            break
            ;;
    esac
done 2>/dev/null <"$PROXY_CONFIG"

# Accepts a number, with or without quotes; its decimal places are ignored.
while :; do
    case $value in
        [[:blank:]\"]*) value=${value#?} ;;
        *) break ;;
    esac
done
memory_mb=${value%%[!0-9]*}
case ${value#"$memory_mb"} in
    '' | [].,}\"[:space:]]*) ;;
    *) memory_mb= ;;
esac
case $memory_mb in
    '' | 0* | ???????*) ;;
    *)
        # Converts 10^6 bytes to MiB. Memory use above nine tenths of the limit is charged for, so the heap stays below
        # that unless it would then be smaller than the default.
        full_limit_heap_mib=$((memory_mb * 15625 / 16384 - non_heap_mib))
        uncharged_heap_mib=$((memory_mb * 15625 * 9 / 163840 - non_heap_mib))
        if [ "$uncharged_heap_mib" -ge "$heap" ]; then
            heap=$uncharged_heap_mib
        elif [ "$full_limit_heap_mib" -lt "$heap" ]; then
            heap=$full_limit_heap_mib
        fi
        if [ "$heap" -lt "$min_heap_mib" ]; then
            heap=$min_heap_mib
        fi
        if [ "$heap" -lt "$initial" ]; then
            initial=$heap
        fi
        ;;
esac
