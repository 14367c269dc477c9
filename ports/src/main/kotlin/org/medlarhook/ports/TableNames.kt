package org.medlarhook.ports

/** The tables that the system uses, and the form of their keys. */
public object TableNames {
    /** Key `head`: the newest version of the directory. */
    public const val DIRECTORY_HEAD: String = "directory-head"

    /** Key: the version, zero-padded to 19 digits; value: a change as JSON. */
    public const val DIRECTORY_CHANGE: String = "directory-change"

    /** Key: `{dataCentre}/{upstreamId}`; value: the registration of a sidecar. */
    public const val UPSTREAM: String = "upstream"

    /** Key: `{entryId}`; value: the registration of an entry. */
    public const val ENTRY: String = "entry"

    /** Key: the scope; value: holder, epoch, nonce and renewal count of a lease. */
    public const val LEASE: String = "lease"

    /** Key: the scope; value: the epoch. Changes only when a lease changes hands. */
    public const val EPOCH: String = "epoch"

    /** Key: `{dataCentre}/{upstreamId}`; value: the newest order for the upstream. */
    public const val ORDER: String = "order"

    /** Key: the data centre; value: the open start or stop intent. */
    public const val INTENT: String = "intent"

    /** Key: `{shard}/{windowStartMs}`; value: a frozen usage report. */
    public const val USAGE_WINDOW: String = "usage-window"

    /** Key: `{shard}/{batch}`; value: collected totals and watermarks. */
    public const val USAGE_BATCH: String = "usage-batch"

    /** Key: `{workspace}/{idempotencyKey}`; value: a claim. */
    public const val CLAIM: String = "claim"
}
