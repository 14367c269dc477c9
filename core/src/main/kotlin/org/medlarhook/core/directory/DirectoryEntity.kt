package org.medlarhook.core.directory

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One object of the shared configuration. The directory maps kind and name to such objects. */
@Serializable
public sealed interface DirectoryEntity {
    /** The name, which is unique within its kind. */
    public val name: String
}

/**
 * A tenant of the system, with its limits and the models and services that it may use.
 *
 * @property weight relative share in the fair queues.
 * @property tokensPerS limit in tokens per second over all entries; null means no limit.
 * @property maxConcurrent limit of requests in flight over all entries; null means no limit.
 * @property models models that the workspace may use; empty means all.
 * @property services services that the workspace may use; empty means all.
 */
@Serializable
@SerialName("workspace")
public data class Workspace(
    override val name: String,
    val weight: Int = 1,
    val tokensPerS: Long? = null,
    val maxConcurrent: Int? = null,
    val models: List<String> = emptyList(),
    val services: List<String> = emptyList(),
) : DirectoryEntity

/**
 * A granted or withdrawn key, stored only as a salted digest.
 *
 * @property name the key's public identifier, the part of the key before the dot.
 * @property digestHex SHA-256 of salt and key, in hexadecimal.
 */
@Serializable
@SerialName("key")
public data class KeyGrant(
    override val name: String,
    val workspace: String,
    val saltHex: String,
    val digestHex: String,
    val withdrawn: Boolean = false,
) : DirectoryEntity

/** A model that may be served, with its current version and adapters. */
@Serializable
@SerialName("model")
public data class ModelDeclaration(
    override val name: String,
    val version: String,
    val adapters: List<String> = emptyList(),
    val maxOutputTokens: Int = 4096,
    val defaultDeadlineMs: Long = 60_000,
) : DirectoryEntity

/** A plain service with its routes. The first route whose method and path prefix match applies. */
@Serializable
@SerialName("service")
public data class ServiceDeclaration(
    override val name: String,
    val routes: List<ServiceRoute>,
    val defaultDeadlineMs: Long = 10_000,
) : DirectoryEntity

/**
 * A route of a plain service.
 *
 * @property methods the HTTP methods; empty means all.
 * @property open true if no key is needed.
 * @property idempotent true if a call may be retried.
 */
@Serializable
public data class ServiceRoute(
    val pathPrefix: String,
    val methods: List<String> = emptyList(),
    val open: Boolean = false,
    val idempotent: Boolean = false,
)

/** The models and services that one site (a data centre) is meant to run. */
@Serializable
@SerialName("site")
public data class Site(
    override val name: String,
    val region: String,
    val models: List<String> = emptyList(),
    val services: List<String> = emptyList(),
    val minUpstreams: Int = 0,
    val maxUpstreams: Int = 0,
) : DirectoryEntity
