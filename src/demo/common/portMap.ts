/**
 * Replaces the loopback ports in a set of settings files. The examples use fixed ports, which may be in use
 * on the machine that runs the demo. The same map is applied to all files, so that their references to one
 * another stay valid.
 */

/** Maps each port in the files to the port to use instead. */
export type PortMap = ReadonlyMap<number, number>;

const loopbackPort = /\b127\.0\.0\.1:(\d+)\b/g;

/** Lists the distinct loopback ports in the texts, in the order of their first occurrence. */
export function listPorts(texts: readonly string[]): number[] {
	const ports = texts.flatMap(text => [...text.matchAll(loopbackPort)].map(match => Number(match[1])));
	return [...new Set(ports)];
}

/** Replaces every mapped loopback port in a text. Other ports are unchanged. */
export function applyPortMap(text: string, map: PortMap): string {
	return text.replace(loopbackPort, (address, port: string) => {
		const mappedPort = map.get(Number(port));
		return mappedPort === undefined ? address : `127.0.0.1:${mappedPort}`;
	});
}
