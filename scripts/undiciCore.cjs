/**
 * The subset of undici that the entry uses. The build bundles it instead of the package index, which also loads
 * fetch, WebSocket and cache support and slows down each start.
 */

'use strict';

const api = require('undici/lib/api');
const Agent = require('undici/lib/dispatcher/agent');
const Client = require('undici/lib/dispatcher/client');
const Pool = require('undici/lib/dispatcher/pool');
const buildConnector = require('undici/lib/core/connect');
const errors = require('undici/lib/core/errors');

/** Like `request` of undici, but requires a dispatcher in the options. */
function request(url, { dispatcher, ...options }) {
	const { origin, pathname, search } = new URL(url);
	return api.request.call(dispatcher, { method: 'GET', ...options, origin, path: `${pathname}${search}` });
}

module.exports = { Agent, Client, Pool, buildConnector, errors, request };
