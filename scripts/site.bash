# Starts the real programs on loopback ports that the kernel chooses, and stops them by id. Sourced by scripts/demo and
# scripts/pathcost; expects $bin, the folder of the programs.

site_folder=$(mktemp -d)
site_ids=()

# Stops everything that was started here: SIGTERM, and SIGKILL to what is left after five seconds.
site_stop() {
    local id
    for id in "${site_ids[@]}"; do kill -TERM "$id" 2>/dev/null || true; done
    for _ in $(seq 50); do
        local left=0
        for id in "${site_ids[@]}"; do kill -0 "$id" 2>/dev/null && left=1; done
        [ $left = 0 ] && break
        sleep 0.1
    done
    for id in "${site_ids[@]}"; do kill -KILL "$id" 2>/dev/null || true; done
    wait "${site_ids[@]}" 2>/dev/null || true
    rm -rf "$site_folder"
}

# site_start NAME PROGRAM ARGUMENT...: starts a program and waits for its ready line. Its addresses are then in
# site_address[NAME] and, for a target process, site_admin[NAME]; its id in site_id[NAME].
declare -A site_address site_admin site_id
site_start() {
    local name=$1 program=$2 line=
    shift 2
    "$bin/$program" "$@" >"$site_folder/$name.out" 2>"$site_folder/$name.err" &
    site_id[$name]=$!
    site_ids+=($!)
    for _ in $(seq 200); do
        line=$(grep -m 1 '^ready ' "$site_folder/$name.out") && break
        kill -0 "${site_id[$name]}" 2>/dev/null || break
        sleep 0.05
    done
    if [ -z "$line" ]; then
        echo "$name did not start:" >&2
        cat "$site_folder/$name.err" >&2
        return 1
    fi
    # shellcheck disable=SC2086
    set -- $line
    site_address[$name]=$3
    site_admin[$name]=${4:-}
}

# site_target NAME SERVICE KIND WITHDRAWN: the section of one target of the inventory, zone a.
site_section() {
    printf '[target.%s]\nhost = host-%s\nzone = a\nservice = %s\nkind = %s\n' "$1" "$1" "$2" "$3"
    [ "$3" = engine ] && printf 'models = %s\n' "$2"
    printf 'gate = %s\nbackend = %s\nwithdrawn = %s\n\n' "${site_address[$1-gate]}" "${site_address[$1]}" "$4"
}

# site_wait_serving ENTRY COUNT: waits until the entry reaches so many targets.
site_wait_serving() {
    local serving=0
    for _ in $(seq 200); do
        serving=$(curl -s "http://${site_address[$1]}/admin/targets" | grep -o '"serving"' | wc -l)
        [ "$serving" -ge "$2" ] && return 0
        sleep 0.05
    done
    echo "only $serving of $2 targets are serving at $1" >&2
    return 1
}
