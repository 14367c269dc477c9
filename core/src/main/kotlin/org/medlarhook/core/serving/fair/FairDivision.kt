package org.medlarhook.core.serving.fair

/**
 * How the recent capacity of a service is divided among the workspaces that ask for it.
 *
 * @property work the recent work of each workspace over all processes, as far as this one knows.
 * @property fairShare the most recent work that a workspace has by its max-min fair share.
 * @property toldAgeMs the age of the counts of other processes, or null if none were told.
 * @property urgency the factor on the objective's share by priority.
 * @property atMs when the division was made.
 */
public class FairDivision internal constructor(
    private val work: Map<String, Double>,
    private val fairShare: Double,
    private val toldAgeMs: Long?,
    private val urgency: Map<Int, Double>,
    public val atMs: Long,
) {
    /** True if no workspace has asked for anything lately. */
    public val isEmpty: Boolean get() = work.isEmpty()

    /** The standing of a request of [workspace] with [priority]. */
    public fun standing(workspace: String, priority: Int): WorkspaceStanding =
        WorkspaceStanding(work[workspace] ?: 0.0, fairShare, toldAgeMs, urgency[priority] ?: 1.0)
}
