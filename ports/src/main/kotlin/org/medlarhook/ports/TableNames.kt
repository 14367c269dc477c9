package org.medlarhook.ports

/** The tables that the system uses, with the format of their keys and values. */
public object TableNames {
    /** Key: `head`; value: the newest version of the directory. */
    public const val DIRECTORY_HEAD: String = "directory-head"

    /** Key: the version, zero-padded to 19 digits; value: a change as JSON. */
    public const val DIRECTORY_CHANGE: String = "directory-change"

    /** Key: `{dataCentre}/{upstreamId}`; value: the registration of the sidecar. */
    public const val UPSTREAM: String = "upstream"

    /** Key: `{entryId}`; value: the registration of the entry. */
    public const val ENTRY: String = "entry"

    /** Key: the scope; value: holder, epoch, nonce and renewal count of a lease. */
    public const val LEASE: String = "lease"

    /** Key: the scope; value: the epoch. It changes only when the lease passes to another holder. */
    public const val EPOCH: String = "epoch"

    /** Key: `{dataCentre}/{upstreamId}`; value: the newest order for the upstream. */
    public const val ORDER: String = "order"

    /** Key: the data centre; value: the unfinished intent to start or stop upstreams. */
    public const val INTENT: String = "intent"

    /** Key: `{shard}/{windowStartMs}`; value: the usage report of the window, which no longer changes. */
    public const val USAGE_WINDOW: String = "usage-window"

    /** Key: `{shard}/{batch}`; value: collected usage totals and the watermark of each receipt source. */
    public const val USAGE_BATCH: String = "usage-batch"

    /** Key: `{workspace}/{idempotencyKey}`; value: the claim on the idempotency key. */
    public const val CLAIM: String = "claim"
}
