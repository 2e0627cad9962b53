/** Tests are in `test/` folders next to the code that they test. swc transforms the sources to CommonJS. */
module.exports = {
	testEnvironment: 'node',
	roots: ['<rootDir>/src', '<rootDir>/platform'],
	testMatch: ['**/test/**/*.test.ts'],
	transform: {
		'^.+\\.[tj]s$': [
			'@swc/jest',
			{
				jsc: { parser: { syntax: 'typescript' }, target: 'es2023' },
				module: { type: 'commonjs' },
				sourceMaps: 'inline',
			},
		],
	},
	transformIgnorePatterns: ['/node_modules/(?!(yargs|yargs-parser|y18n|cliui|pure-rand|@fast-check)/)'],
};
