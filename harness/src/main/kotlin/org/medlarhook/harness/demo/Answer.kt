package org.medlarhook.harness.demo

/** Status and body of an answer; status 0 means that none came. */
internal data class Answer(
    val status: Int,
    val body: String,
)
