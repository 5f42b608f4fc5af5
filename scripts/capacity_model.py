"""Draws lines through measured points and computes the cost of each role from them."""

import math

DAY = 86400
MB = 1024 * 1024
LINK_DIRECTIONS = 2  # dialled and accepted links
# Nodes that a node passes a difference of the sheet on to (sheet_tree_fan_out).
SHEET_FAN_OUT = 12


class Line:
    """Least squares line through points, over x or over log2(x)."""

    def __init__(self, points, x, y, logarithmic=False):
        self.points = [(float(p[x]), float(p[y])) for p in points]
        self.logarithmic = logarithmic
        xs = [self._axis(a) for a, _ in self.points]
        ys = [b for _, b in self.points]
        mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
        spread = sum((a - mean_x) ** 2 for a in xs)
        self.slope = (sum((a - mean_x) * (b - mean_y) for a, b in zip(xs, ys)) / spread
                      if spread else 0.0)
        self.start = mean_y - self.slope * mean_x
        self.last = max(a for a, _ in self.points)

    def _axis(self, value):
        return math.log2(value) if self.logarithmic else value

    def at(self, value):
        """Value of the line; not below the lowest point when the slope is noise."""
        drawn = self.start + self.slope * self._axis(value)
        return max(drawn, min(y for _, y in self.points))

    def reach(self, value):
        """How far the line is drawn beyond its last point."""
        return value / self.last


def flatten(points, *path):
    """Lifts a nested dict of every point to its top level."""
    result = []
    for point in points:
        inner = point
        for key in path:
            inner = inner[key]
        result.append({**point, **inner})
    return result


def lines_of(slopes):
    gossip = [dict(p, heap=p["heap_bytes_per_member"]) for p in slopes["gossip"]]
    idle = flatten(slopes["fleet"], "idle")
    return {
        "gossip_bytes": Line(gossip, "members", "idle_bytes_per_s", True),
        "gossip_sheet_bytes": Line(gossip, "members", "sheet_bytes_per_s", True),
        "gossip_core": Line(gossip, "members", "sheet_core"),
        "gossip_heap": Line(gossip, "members", "heap"),
        "gossip_changes": Line(gossip, "members", "sheet_changes_per_s", True),
        "join_core": Line(gossip, "members", "join_core_s_per_member"),
        "stale": Line(gossip, "members", "stale_share", True),
        "peers_heap": Line(slopes["peers"], "members", "heap_bytes"),
        "peers_update": Line(slopes["peers"], "members", "update_s"),
        "sheet_news": Line(slopes["peers"], "members", "sheet_news_s"),
        "peers_tick": Line(slopes["peers"], "members", "sheet_tick_s"),
        "parse": Line(slopes["sheet"], "rules", "parse_s"),
        "apply": Line(slopes["sheet"], "rules", "apply_difference_s"),
        "difference": Line(slopes["sheet"], "rules", "difference_bytes"),
        "sheet_heap": Line(slopes["sheet"], "rules", "heap_bytes"),
        "claims_heap": Line(slopes["claims"], "keys", "heap_bytes"),
        "claims_carry": Line(slopes["claims"], "keys", "carry_bytes"),
        "quarantine_heap": Line(slopes["quarantine"], "records", "heap_bytes"),
        "pressure_heap": Line(slopes["pressure"], "services", "heap_bytes"),
        "ledger_heap": Line(slopes["ledger"], "roots", "heap_bytes"),
        "events_heap": Line(slopes["events"], "events", "heap_bytes"),
        "idle_core": Line(idle, "nodes", "core"),
        "idle_memory": Line(idle, "nodes", "resident_bytes"),
        "idle_gossip": Line(idle, "nodes", "gossip_sent_per_s", True),
        "log_reads": Line(idle, "nodes", "log_reads_per_s"),
        "log_core": Line(idle, "nodes", "log_core"),
    }


class Row:
    """Cost of one role in one node, or in the log service."""

    def __init__(self, role, grows, where, reach, mechanism, core=0.0, memory=0.0, sent=0.0,
                 appends=0.0, change=""):
        self.role = role
        self.grows = grows
        self.where = where
        self.reach = reach
        self.mechanism = mechanism
        self.core = core
        self.memory = memory
        self.sent = sent
        self.appends = appends
        self.change = change


def derived(size):
    """Figures that follow from the size."""
    nodes, domains = size["nodes"], size["failure_domains"]
    per_domain = nodes / domains
    calls = size["calls_per_s"] / nodes
    servers_in_domain = math.ceil(nodes / size["services"] / domains)
    return {
        "per_domain": per_domain,
        # Below 64 nodes of a domain the share holder grants to each node itself.
        "collectors": round(math.sqrt(per_domain)) if per_domain >= 64 else per_domain,
        "calls": calls,
        "roots": calls / size["calls_per_root"],
        "links": LINK_DIRECTIONS * size["services_called_by_a_service"] * servers_in_domain,
        "changes": size["sheet_changes_per_day"] / DAY,
        "levels_on_reply": (size["calls_per_root"] + 1) / 2,
        "claims": size["calls_per_s"] * size["at_most_once_share"],
    }


def sheet_rows(size, lines, slopes, d):
    parse = lines["parse"].at(size["sheet_rules"])
    apply = lines["apply"].at(size["sheet_rules"])
    passed_on = SHEET_FAN_OUT * lines["difference"].at(size["sheet_rules"])
    tick = 5 * lines["peers_tick"].at(size["nodes"])
    return [Row(
        "sheet distribution", "bytes of a difference x changes",
        "sheet of 350 to 6,000 rules and a table of 6,900 members in one process",
        max(lines["parse"].reach(size["sheet_rules"]), 1.0),
        "3 readers a failure domain, then differences of one row down a tree; sent by a node "
        "with %d below it" % SHEET_FAN_OUT,
        core=(parse + apply) * d["changes"] + tick,
        memory=3 * lines["sheet_heap"].at(size["sheet_rules"]),
        sent=passed_on * d["changes"])]


def membership_rows(size, lines, slopes, d):
    nodes = size["nodes"]
    rate = lines["gossip_changes"].at(nodes)
    return [
        Row("membership: gossip", "members (memory, processor), log of members (bytes)",
            "cores in memory", lines["gossip_core"].reach(nodes), "SWIM gossip",
            core=lines["gossip_core"].at(nodes),
            memory=lines["gossip_heap"].at(nodes),
            sent=lines["gossip_sheet_bytes"].at(nodes),
            change="memory and processor time of a member know only the own domain and the "
                   "services called"),
        Row("membership: tables of routing", "members x changes heard of",
            "peer table of up to 6,900 members; rate of changes from cores in memory",
            lines["gossip_changes"].reach(nodes), "rebuilt on a change of a member, but not for a sheet version",
            core=rate * lines["sheet_news"].at(nodes), memory=lines["peers_heap"].at(nodes),
            change="keep only members of the services called"),
    ]


def claims_rows(size, lines, slopes, d):
    keys = d["claims"] / size["services"] * DAY * size["remember_days"]
    return [Row(
        "claims", "at-most-once calls x `remember_days`", "claims tables in one process",
        lines["claims_heap"].reach(keys), "one stream a service, group commit in a node",
        core=2 * d["claims"] / size["services"] * _last(slopes["claims"], "apply_s_per_key"),
        memory=lines["claims_heap"].at(keys),
        sent=2 * d["claims"] / size["services"] * _last_ratio(
            slopes["claims"], "stream_bytes", "keys"),
        appends=2 * min(d["claims"], size["nodes"] * 1000 / size["log_append_ms"]),
        change="appenders of claim groups (docs/design.md, section 6.2)")]


def traffic_rows(size, lines, slopes, d):
    frames = slopes["frames"]
    header = 6  # websocket header with mask, as the dialling side sends it
    # On an idle link one side sends a ping every 500 ms and the other answers; a node sends
    # either frame on half of its links. A busy link needs no ping.
    link_bytes = d["links"] * (frames["ping"] + frames["pong"] + 2 * header)
    rows = size["limited_rows_seen_by_a_node"]
    report = frames["demand_report"] + header
    grant = frames["share_grant"] + header
    return [
        Row("passing on: links", "nodes of the services called", "encoded frames", 1.0,
            "one link per pair of nodes that call each other, ping after 500 ms of silence",
            sent=link_bytes,
            change="ping less often on a link without calls in flight"),
        Row("load exchange", "calls x services below", "encoded frames; pressure table of "
            "10 to 350 services", 1.0, "levels on each reply",
            core=d["roots"] * _last(slopes["pressure"], "decide_s"),
            memory=lines["pressure_heap"].at(size["services"]),
            sent=d["calls"] * d["levels_on_reply"] * frames["level_on_reply"],
            change="a level goes on a reply only when it changed, or 100 ms after the last "
                   "one on this link"),
        Row("limits: a node", "limited rows seen", "encoded frames", 1.0,
            "demand to a collector every 500 ms, when it changes by a tenth each time",
            sent=2 * rows * (report + grant)),
        Row("limits: holder of a row that all see", "square root of the nodes of a domain",
            "encoded frames", 1.0, "grants to the collectors of the row every 500 ms",
            sent=2 * d["collectors"] * grant),
        Row("limits: collector of a row that all see", "square root of the nodes of a domain",
            "encoded frames", 1.0, "a sum to the share holder and grants to its nodes every "
            "500 ms", sent=2 * (report + grant * d["per_domain"] / d["collectors"])),
        Row("entry: root ledger", "roots in 30 s", "ledgers of 1,000 to 20,000 roots",
            lines["ledger_heap"].reach(d["roots"] * 30), "sharded call table",
            core=d["roots"] * _last(slopes["sheet"], "lookup_s"),
            memory=lines["ledger_heap"].at(d["roots"] * 30)),
    ]


def small_rows(size, lines, slopes, d):
    reads = lines["log_reads"].slope
    read_bytes = next((p["bytes_per_log_read"] for p in slopes["fleet"]
                       if "bytes_per_log_read" in p), 0)
    records = size["quarantine_records_per_day"]
    return [
        Row("base: timers, admission level, long polls", "nothing", "5 to 100 real nodes, idle",
            1.0, "periodic timers of the node", core=lines["idle_core"].start,
            memory=lines["idle_memory"].start, sent=0.0),
        Row("quarantine", "suspected requests of 24 h", "tables of up to 50,000 records; "
            "polls of real nodes", lines["quarantine_heap"].reach(records),
            "every node follows one stream", memory=lines["quarantine_heap"].at(records),
            sent=reads * read_bytes + records / DAY * _last(slopes["quarantine"], "record_bytes")
            * 4 / 3, appends=records / DAY),
        Row("time line", "events, up to 4,096", "rings of 512 to 8,192 events", 1.0,
            "ring buffer", memory=lines["events_heap"].at(size["event_ring"])),
        Row("contacts", "failure domains", "counted", 1.0, "3 writers a failure domain",
            appends=3 * size["failure_domains"] / 300),
        Row("sheet changes and carries", "changes", "counted", 1.0, "stream `config`",
            appends=d["changes"]),
    ]


def _last(points, key):
    return points[-1][key]


def _last_ratio(points, key, by):
    return points[-1][key] / points[-1][by]


def rows_of(size, slopes):
    lines = lines_of(slopes)
    d = derived(size)
    result = small_rows(size, lines, slopes, d)
    result += traffic_rows(size, lines, slopes, d)
    result += membership_rows(size, lines, slopes, d)
    result += sheet_rows(size, lines, slopes, d)
    result += claims_rows(size, lines, slopes, d)
    return result, lines, d


def over_budget(row, size):
    """Returns the names of the budgets that the row alone exceeds."""
    names = []
    if row.core > size["budget_core"]:
        names.append("processor")
    if row.memory > size["budget_memory_mb"] * MB:
        names.append("memory")
    if row.sent > size["budget_bytes_per_s"]:
        names.append("bytes")
    if row.appends > size["budget_appends_per_s"]:
        names.append("appends")
    return names
